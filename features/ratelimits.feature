Feature: Rate limits that endpoints name
  An endpoint in need names the requests a second that it takes from all
  entries together. They share that rate, whoever of them is asked.

  Scenario Outline: Entries together keep the rate limit of an endpoint
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And a ready entry "two" in "b"
    And a ready entry "three" in "a"
    When every <kind> names a limit of <limit> requests a second
    And callers ask all entries for <kind> work for 9 seconds
    Then no <kind> got more than its limit allows

    Examples:
      | kind    | limit |
      | service | 1.6   |
      | service | 5.2   |
      | engine  | 3.0   |
