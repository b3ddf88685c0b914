Feature: Team limits shared by all entries
  Guards against entries that together admit more than a team's limit, and
  against refusals while other entries do not use their shares.

  Scenario: Shares never pass the limit, whatever is lost or cut
    Then at any moment shares and slots of all entries stay within the limit

  Scenario: Entries that never reach each other keep their static parts
    Given two entries that cannot reach each other share limits
    When both are asked 50 times for a team with 10 requests in flight
    Then 10 of these are admitted and the rest refused as not run

  Scenario: One entry gets what the others do not use
    Given two linked entries that share limits
    When one is asked until a team has 10 requests in flight there
    Then the other entry refuses the team as not run

  Scenario: What has ended leaves room at the other entry
    Given two linked entries that share limits
    When one is asked until a team has 10 requests in flight there
    And these requests end
    Then the other entry comes to admit 10 requests

  Scenario: A burst is admitted while most of the limit is free
    Given two linked entries that share limits
    When one is asked until a team has 1 requests in flight there
    Then 4 more are admitted there at once

  Scenario Outline: An entry that is new to a team admits a burst at once
    Given three linked entries that share limits
    When one is asked until a team has 2 requests in flight there
    And all entries have settled their shares
    Then 2 requests under the <limit> are admitted at once by the next entry

    Examples:
      | limit                 |
      | limit in flight       |
      | rate                  |
      | limit below one each  |

  Scenario: An entry that needs nothing asks seldom, and tells what it gave up
    Given an entry that was granted nothing beyond what it owns at 0.0 s
    Then it keeps quiet at 1.0 s but not at 5.0 s
    When it is granted a share at 5.5 s and nothing more at 6.5 s
    Then it asks once more at 7.0 s and then keeps quiet
