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
    And callers were answered, or told when to return

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

  Scenario Outline: An endpoint is taken up again slowly after its pause
    When one <kind> turns requests away and asks for 1.5 s
    And callers ask for <kind> work for 1 seconds
    And that endpoint takes requests again
    And callers ask for <kind> work for 4 seconds
    Then it got 1 request, then no more than 2 further ones for each that it took
    And it served <share> of the requests or more from 2.0 s after its pause

    Examples:
      | kind    | share |
      | service | 0.3   |
      | engine  | 0.2   |

  Scenario: A burst after a pause does not drive an endpoint into the next one
    Given an endpoint that takes 3 requests at once and then asks for 1 s
    When 20 requests wait for it at the end of its pause
    Then it turns 2 of them away at most

  Scenario: No order, overlap or delay of answers breaks a pause
    Then no request is sent into a pause whatever order its answers have
    And an endpoint is used again once its pauses are over

  Scenario Outline: A pause that can't be read is bounded and told
    When one service turns requests away and asks for "<value>"
    And callers ask for service work for 1 seconds
    Then all callers were answered whole
    And the entry tells a pause of <seconds> s at that service
    And the service gets <requests> of the entry's calls at the most
    When that endpoint takes requests again
    Then the service is used again within <used> s

    Examples:
      | value                         | seconds | requests | used |
      | Wed, 21 Oct 2026 07:28:00 GMT | 1       | 40       | 4    |
      | -3                            | 1       | 40       | 4    |
      | nan                           | 1       | 40       | 4    |
      | 1e3                           | 1       | 40       | 4    |
      | soon                          | 1       | 40       | 4    |
      | 0.5                           | 0.5     | 40       | 4    |
      | 0.25;0.75                     | 0.75    | 40       | 4    |

  Scenario: A pause of a day is kept
    When one service turns requests away and asks for "86400"
    And callers ask for service work for 1 seconds
    And that endpoint takes requests again
    And callers ask for service work for 4 seconds
    Then no endpoint got more than 2 requests within a pause
    And all callers were answered whole

  Scenario: An endpoint that asks for no pause at all is tried again
    When one service turns requests away and asks for "0"
    And callers ask for service work for 1 seconds
    Then all callers were answered whole
    And the entry tells no pause at that service

  Scenario: An endpoint that turns calls away without a word is tried seldom
    When one service is full
    And callers ask for service work for 3 seconds
    Then all callers were answered whole
    And the service gets 80 of the entry's calls at the most

  Scenario Outline: An endpoint that leaves gets nothing new, store or not
    When one <kind> says in its answers that it leaves
    And callers ask for <kind> work for 5 seconds
    Then no request sent 2 s after the first such answer reached it
    And callers were answered, or told when to return

    Examples:
      | kind    |
      | service |
      | engine  |

  Scenario Outline: Calls are served elsewhere while a service is held back
    When one service <stops>
    And callers ask for service work for 4 seconds
    Then all callers were answered whole

    Examples:
      | stops                                  |
      | turns requests away and asks for 3 s   |
      | turns requests away and asks for 2.5 s |
      | says in its answers that it leaves     |

  Scenario Outline: Streams are served elsewhere while an engine is held back
    When one engine <stops>
    And callers ask for engine work for 4 seconds
    Then all callers were answered whole

    Examples:
      | stops                                  |
      | turns requests away and asks for 3 s   |
      | turns requests away and asks for 2.5 s |
      | says in its answers that it leaves     |

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
