Feature: Endpoints that ask for a pause or say that they leave
  An endpoint that turns a request away may ask its sender for some seconds
  without requests, and one that shuts down says so in its answers. What
  reaches it afterwards costs a retry each, and is counted at the endpoint.

  Background:
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"

  Scenario Outline: An endpoint that asked for a pause gets nothing within it
    When one <kind> turns requests away and asks for <seconds> s
    And callers ask for <kind> work for 4 seconds
    Then no endpoint got more than 2 requests within a pause
    And all callers were answered whole

    Examples:
      | kind    | seconds |
      | service | 3       |
      | service | 2.5     |
      | service | 1       |
      | engine  | 3       |
      | engine  | 2.5     |

  Scenario: Calls that wait for room are not sent into a pause
    Given calls take 0.4 s and endpoints run 4 at once
    When one service turns requests away and asks for 3 s
    And 24 callers ask for service work for 4 seconds
    Then no endpoint got more than 2 requests within a pause

  Scenario: Callers are refused at once while all services pause
    When every service turns requests away and asks for 3 s
    And callers ask for service work for 4 seconds
    Then no endpoint got more than 2 requests within a pause
    And refusals took 0.25 s at most
    And refused callers were told to return after the first pause

  Scenario: Streams are refused at once while all first engines pause
    When every engine with the first layer turns requests away and asks for 3 s
    And callers ask for engine work for 4 seconds
    Then no endpoint got more than 2 requests within a pause
    And refusals took 0.25 s at most
    And refused callers were told to return after the first pause

  Scenario: A call that can wait for the end of a pause is not refused
    Given every service turned a call away and asked for 0.3 s
    When a caller calls "/lists/x" 4 times
    Then all of them got status 200

  Scenario: Calls are refused at once while all services leave
    When every service says in its answers that it leaves
    And callers ask for service work for 1 seconds
    Then refusals took 0.25 s at most

  Scenario Outline: An endpoint that leaves gets nothing new, store or not
    When one <kind> says in its answers that it leaves
    And callers ask for <kind> work for 5 seconds
    Then no request sent 2 s after the first such answer reached it
    And all callers were answered whole

    Examples:
      | kind    |
      | service |
      | engine  |

  Scenario: An entry that learns that an endpoint leaves tells the others
    Given a ready entry "two" in "b"
    When one service says in its answers that it leaves
    And a caller calls "/lists/x" 8 times
    Then entry "two" sends it nothing more within 1 s

  Scenario: A pause that an endpoint asks of one entry does not bind another
    Given a ready entry "two" in "a"
    When one service turns requests away and asks for 60 s
    And a caller calls "/lists/x" 8 times
    And that service takes requests again
    Then entry "two" still sends calls to it
    And entry "one" sends it nothing
