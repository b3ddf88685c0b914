Feature: One odd entry among those of the endpoints harms no request
  Any client may write to the store. Guards against an entry that ends the
  process that reads it, or the requests of a service.

  Scenario: Odd entries come one after the other, and stay
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When odd entries of each kind come, under calls and streams
    Then each call and each stream has got its own answer within 1.0 s
    And the log tells of no failed request
    And an endpoint that comes after them gets calls

  Scenario: Odd entries that no answer holds together come at once
    Guards against an entry that asks for the same changes again and again.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When the store is silent while 12 odd entries of 1 MB come
    Then an endpoint that comes after them gets calls
