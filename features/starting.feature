Feature: How an entry and a platform start
  Real entries run against stand-ins of the store, engines and services.

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
