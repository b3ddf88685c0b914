@load
Feature: Entries share the capacity of engines
  Guards against urgent requests that wait behind others of the deployment,
  against teams and priorities that starve, and against capacity that is idle
  while requests wait. Four entries in two failure domains serve streams of 30
  events in 1 s by engines of 4 slots, which refuse any further stream. All
  rates relate to the measured capacity of the engines.

  Scenario: Requests are in time while there is capacity
    Given entries before engines of measured capacity
    When the load "light" comes
    Then 0.95 of the requests of "all alike" are in time

  Scenario: Urgent requests go first at all entries
    Given entries before engines of measured capacity
    When the load "priorities" comes
    Then 0.95 of the requests of "priority 0" are in time
    And "priority 2" completes 0.8 of the capacity that "priority 0" leaves

  Scenario: Urgent requests go first although others wait elsewhere
    Given entries before engines of measured capacity
    When the load "priorities apart" comes
    Then 0.95 of the requests of "priority 0" are in time

  Scenario: Urgent requests beyond the capacity starve nobody
    Given entries before engines of measured capacity
    When the load "urgent overload" comes
    Then no kind of caller completes less than 0.25 of the share of all
    And requests in time take 0.6 of the capacity

  Scenario: A team that asks for too much takes nothing from others
    Given entries before engines of measured capacity
    When the load "large team" comes
    Then 0.9 of the requests of "others" are in time

  Scenario: A team gains nothing by sending through one entry
    Given entries before engines of measured capacity
    When the load "large team apart" comes
    Then 0.9 of the requests of "others" are in time

  Scenario: Requests are in time while most of the capacity is used
    Given entries before engines of measured capacity
    When the load "high" comes
    Then 0.9 of the requests of "all alike" are in time

  Scenario: Entries of one failure domain use the capacity of others
    Given entries before engines of measured capacity
    When the load "high in one domain" comes
    Then 0.9 of the requests of "all alike" are in time

  Scenario: Slow engines do not keep requests from others in time
    Given entries before engines of measured capacity
    When the load "slow domain" comes
    Then 0.9 of the requests of "all alike" are in time

  Scenario: Others go on when an entry dies while its urgent requests wait
    Given entries before engines of measured capacity
    When an entry is killed while urgent requests wait there
    Then streams begin at the other entries within 0.5 s, and go on

  Scenario: Halves that do not hear each other use the whole capacity
    Given entries before engines of measured capacity
    And entries of which two halves do not hear each other
    When they are overloaded
    Then requests complete 0.8 of the capacity
    And each half has 0.25 of the starts
