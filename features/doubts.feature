Feature: What an entry concludes from silence and refusals
  Fails if an entry fails over too early or too late, or ejects an engine
  that is only full. Times are simulated, in seconds.

  Scenario: A run that stands still is judged until something shows why
    Given a run that may be silent for 1.0 s
    Then after 0.6 s of silence it is judged again at 0.65 s
    And after 0.65 s of silence, once few engines are suspected, it is moved
    And after 1.98 s of silence it is judged again at 2.0 s
    And after 2.0 s of silence it is moved, whatever is suspected

  Scenario: An engine that refuses while work moves through it is full
    When engine "x" refuses a request at 10.0
    Then it is expected to refuse at 10.2
    When work moves through it at 10.25
    Then it is not expected to refuse at 10.35
    When engine "x" refuses a request at 10.4
    Then it is expected to refuse at 10.6
    When work moves through it at 10.65
    Then it is not expected to refuse at 10.75

  Scenario: An engine that refuses while nothing moves through it is left longer each time
    When engine "x" refuses a request at 10.0
    Then it is expected to refuse at 10.2
    And it is not expected to refuse at 10.35
    When engine "x" refuses a request at 10.4
    Then it is expected to refuse at 10.95
    And it is not expected to refuse at 11.05
    When engine "x" refuses a request at 11.1
    Then it is expected to refuse at 12.2
    And other entries are told of it at 12.2, and not at 12.4

  Scenario: What others tell counts until work moves through the engine
    When another entry reports an ejection of "x" at 10.0 and at 10.15
    Then it is left out at 10.2
    When work moves through it at 10.25
    Then it is in use at 10.26
    When another entry reports an ejection of "x" at 10.3 and at 10.45
    Then it is in use at 10.5
    And other entries are not told of it at 10.5
    When another entry reports an ejection of "x" at 12.0 and at 12.15
    Then it is left out at 12.2

  Scenario: An engine that leaves refuses while older work moves through it
    When engine "x", far from full, refuses a request at 10.0
    Then it is expected to refuse at 10.2
    When work moves through it at 10.25
    And engine "x", far from full, refuses a request at 10.4
    And work moves through it at 10.65
    Then it is expected to refuse at 10.95
    And other entries are told at 10.95 that it goes on refusing
    And it has accepted nothing for 0.95 s at 10.95
    When a request sent to it at 11.1 runs
    Then it is not expected to refuse at 11.15
    And other entries are not told at 11.15 that it goes on refusing
    When engine "x", far from full, refuses a request at 12.0
    Then it is not expected to refuse at 12.35

  Scenario: An engine that refuses other entries is left until it takes a request
    When another entry tells at 10.0 and at 10.15 that "x" goes on refusing
    And work moves through it at 10.2
    Then it is expected to refuse at 10.3
    And it has accepted nothing for 0.3 s at 10.3
    When a request sent to it at 10.1 runs
    Then it is not expected to refuse at 10.35
    And other entries are not told at 10.35 that it goes on refusing

  Scenario: Streams under way have the last part of the second sends
    Given a retry budget of 10 in a window, all of which may be used
    Then 7 fresh requests get a retry and the next does not
    And 3 streams under way still get one and the next does not
    And the budget grants exactly the retries that it reports, to either

  Scenario Outline: A doubt leaves out no endpoint that nobody can replace
    Guards against refusals of all requests after a pause of the machine, in
    which each endpoint seemed to stand still.
    Given endpoints of a service that hold the layers "<layers>"
    When each of them in turn seems to have failed
    Then endpoints "<left>" are still in use
    When each of them in turn has failed for certain
    Then no endpoint is in use

    Examples:
      | layers           | left |
      | none none        | 1    |
      | none             | 0    |
      | 0-8 0-8          | 1    |
      | 0-4 4-8 4-8      | 0 2  |
      | 0-8 0-4 4-8      | 1 2  |
      | 0-5 3-8 0-4 4-8  | 2 3  |
