Feature: Configuration in the store
  Fails if a change is lost, applied twice or applied out of order after a
  race, a lost answer, a garbage collection or a restored store.

  Background:
    Given a configuration store with 300 teams in force

  Scenario: A change costs its own size
    When an operator adds the team "new" to the stored configuration
    Then the stored revision is 2 and has the team "new"
    And at most 2 chunks were written for it

  Scenario: Two operators race
    When an operator adds the team "first" to the stored configuration
    And another adds the team "second" from the same revision
    Then the second gets a conflict that shows the team "first"
    And the stored revision is 2 and has the team "first"

  Scenario Outline: An answer is lost after the change was made
    When the store loses <answers> answers after the chunks are written
    And an operator adds the team "new" to the stored configuration
    Then the change is accepted
    And the stored revision is 2 and has the team "new"
    And sending the same change again gives revision 2

    Examples:
      | answers |
      | 1       |
      | 3       |

  Scenario: A write that is still on its way cannot take effect later
    When a write of the head times out and the store comes back
    Then the delayed write is refused after the change was settled
    And the stored revision is 2 and has the team "new"

  Scenario: Old revisions are pruned and their chunks removed
    When 5 changes are made and all but 2 revisions are collected
    Then 2 revisions can be read and no chunk is left over

  Scenario: A collection between another operator's steps is noticed
    When chunks are collected after an operator has written a chunk
    Then the stored revision is 2 and has the team "new"

  Scenario: Revisions only rise when the store is restored
    Given a process that follows the configuration from the store
    When the store is saved, changed and restored to what was saved
    Then the process has seen revisions 1, 2 in this order
    And the store is brought back to the team "saved-after"

  Scenario: A change on top of a restored store takes hold
    Given a process that follows the configuration from the store
    When the store is restored while it was away and then changed
    Then the process comes to the team "after-restore" at revision 4

  Scenario: Whoever follows the configuration ends soon after a stop
    When the configuration is followed with a pause of 600 s and stopped
    Then nobody follows the configuration after some seconds
