Feature: State of the fleet
  Configuration and membership spread by gossip, so that not every process
  has to call the store.

  Scenario: Records merge the same in any order
    Then any records of one process merge alike in any order and number
    And leaving is never lost in a merge of one incarnation

  Scenario: A revision never falls
    Then no random run of changes, cuts, restarts and restores lowers one

  Scenario: A restored store does not set back a new process
    Given a fleet of 24 processes in 3 failure domains
    And the fleet has revision 5
    When the store is restored to revision 2
    And a process is replaced
    Then it becomes ready with revision 5
    And the watchers report that the store is behind
    And the next change becomes revision 6 everywhere

  Scenario: A process started while the store is away
    Given a fleet of 24 processes in 3 failure domains
    And the fleet has revision 5
    When the store goes away
    And a process is replaced
    Then it becomes ready with revision 5
    But a process that reaches nobody is not ready and says why

  Scenario: One silent process
    Given a fleet of 24 processes in 3 failure domains
    Then one witness alone never has a process declared dead
    And two witnesses have it declared dead after a while
    And a process that was suspected in error clears itself

  Scenario: A stopped process is declared dead everywhere
    Given a fleet of 24 processes in 3 failure domains
    When a process stops without a word
    Then all others hold it dead within 60 seconds

  Scenario Outline: A failure domain is lost at once and comes back
    Given a fleet of <count> processes in <domains> failure domains
    When a failure domain is cut off for 3600 seconds
    Then all views agree within 120 seconds of its return
    And nobody was declared dead
    And no process cleared itself more than 3 times

    Examples:
      | count | domains |
      | 42    | 3       |
      | 50    | 7       |

  Scenario: A process leaves while its failure domain is cut off
    Given a fleet of 24 processes in 3 failure domains
    When a process leaves behind a cut that later heals
    Then all hold it leaving within 60 seconds

  Scenario: Watchers are replaced
    Given a fleet of 24 processes in 3 failure domains
    Then 2 processes watch the store in each failure domain
    When both watchers of a failure domain stop
    Then 2 others watch within 30 seconds

  Scenario: Whoever lost a link to a process misses it after one call
    Given a fleet of 24 processes in 3 failure domains
    When a process stops without a word
    And 2 that had links to it call it at once
    Then both miss it within 3 seconds, whoever else does

  Scenario: Half of the fleet is cut off for an hour and comes back
    Given a fleet of 24 processes in 4 failure domains
    When the half of the failure domains is cut off for 3600 seconds
    Then all views agree within 120 seconds of its return
    And nobody was declared dead

  Scenario: Most processes are replaced within a few minutes
    Given a fleet of 42 processes in 3 failure domains
    And the fleet has revision 5
    When 39 processes are replaced, one in 5 seconds
    Then all views agree within 60 seconds of its return
    And nobody was declared dead
    And all have revision 5 and none had a lower one after a higher
