Feature: Rate limits that endpoints name
  An overloaded endpoint reports the requests a second that it accepts from
  all entries together. Entries share that rate, however callers spread over
  them; a limit kept by each entry alone would admit several times the rate.

  Scenario Outline: Entries together keep the rate limit of an endpoint
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And a ready entry "two" in "b"
    And a ready entry "three" in "a"
    When every <kind> names a limit of <limit> requests a second
    And callers ask all entries for <kind> work for 9 seconds
    Then no <kind> got more than its limit allows
    And callers were answered, or told when to return

    Examples:
      | kind    | limit |
      | service | 1.6   |
      | service | 5.2   |
      | engine  | 3.0   |

  Scenario: An endpoint whose limit ends is used as before
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And a ready entry "two" in "b"
    When every service names a limit of 2.0 requests a second
    And callers ask all entries for service work for 2 seconds
    And no service names a limit any more
    And callers ask all entries for service work for 2 seconds
    Then 100 calls or more were served in the end

  Scenario Outline: The limit is kept and used however many entries share it
    Given <count> entries that lose <loss> of their messages
    When load of three times a limit of <limit> a second comes in <spread> parts, and the coordinator restarts <restarts> times
    Then no window holds more than the limit allows
    And <use> of the limit is used or more

    Examples:
      | count | limit | loss | spread | restarts | use |
      | 3     | 1.0   | 0.0  | even   | 0        | 0.9 |
      | 3     | 50.0  | 0.33 | uneven | 0        | 0.9 |
      | 12    | 1.6   | 0.0  | even   | 0        | 0.9 |
      | 12    | 5.2   | 0.33 | uneven | 0        | 0.9 |
      | 60    | 1.0   | 0.33 | even   | 0        | 0.9 |
      | 60    | 50.0  | 0.33 | even   | 0        | 0.9 |
      | 3     | 5.2   | 0.33 | even   | 2        | 0.8 |
      | 12    | 50.0  | 0.33 | even   | 2        | 0.8 |
      | 60    | 5.2   | 0.33 | uneven | 2        | 0.8 |
