Feature: How an entry and a platform start
  Real entries run against stand-ins for the store, engines and services.

  Scenario: A caller that meets a host whose process just started is served
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When the entry is killed and started again
    And a caller calls "/lists/x" as "c-1" as soon as it can connect
    Then it was connected before the entry's role was loaded
    And "c-1" got status 200

  Scenario: A first layout waits for engines that are listed in turn
    Given an entry "one" in "a" before any engine
    When six engines are listed, one each 0.9 s
    Then none of them had layers before all were listed
    And all of them get layers

  Scenario Outline: An entry that stops tells callers when one serves again
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And <others> other entries that are ready
    When a caller starts to stream 900 events as "s-1"
    And the entry is stopped, and 3.1 s later asked for a stream "s-2"
    Then "s-2" is told to return after <least> s at least and <most> s at most

    Examples:
      | others | least | most |
      | 0      | 2.0   | 2.7  |
      | 1      | 0.0   | 0.2  |

  Scenario: An entry that stops is not listed while it finishes
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When a caller starts to stream 900 events as "s-1"
    And the entry is stopped, and 3.1 s later asked for a stream "s-2"
    Then the store does not list the entry
