Feature: Nothing reaches an endpoint past the gate
  Whatever keeps requests from an endpoint may come up between the choice and
  the send: while a connection is opened, or while a permit is asked for.

  Background:
    Given an entry's state and an endpoint on loopback

  Scenario Outline: A <kind> is not sent when <cause> while it connects
    When a <kind> is exchanged and <cause> while it connects
    Then nothing of it reached the endpoint
    And it counts as withheld for "<reason>", and as not sent

    Examples:
      | kind    | cause                 | reason     |
      | report  | a pause begins        | back-off   |
      | order   | a pause begins        | back-off   |
      | request | a pause begins        | back-off   |
      | report  | the endpoint leaves   | leaving    |
      | request | the endpoint leaves   | leaving    |
      | request | the endpoint is gone  | gone       |
      | request | its slow start is full | slow start |

  Scenario: A request is not sent when a later part of its chain pauses
    When a request is sent on a chain whose last endpoint pauses
    Then nothing of it reached the endpoint

  Scenario Outline: Any answer tells what its endpoint asks for
    When a <kind> is answered <status> with "<headers>"
    Then the endpoint is <state>

    Examples:
      | kind    | status | headers                         | state        |
      | report  | 200    | Server-Leaving: 1               | leaving      |
      | order   | 409    | Server-Leaving: 1               | leaving      |
      | request | 200    | Server-Leaving: 1               | leaving      |
      | report  | 503    | Retry-After: 3                  | in a pause   |
      | order   | 503    | Retry-After: 3                  | in a pause   |
      | request | 503    | Retry-After: 3, Not-Executed: 1 | in a pause   |
      | request | 429    | Retry-After: 3, Not-Executed: 1 | in a pause   |
      | request | 200    | Retry-After: 3                  | in use       |
      | request | 421    | Retry-After: 3, Server-Leaving: 1 | in use     |
      | request | 503    | Not-Executed: 1                 | in use       |

  Scenario: The head of an answer counts though its reader has left
    When the reader of a request leaves before "Retry-After: 3" arrives
    Then the endpoint is in a pause

  Scenario: Of several pauses the latest end counts, in any order
    When answers ask for 3 s, 1 s and 2 s
    Then 3 s of the pause are left

  Scenario: A restarted endpoint begins without its predecessor's pause
    When a pause of 60 s is asked for and the endpoint starts again
    Then the new incarnation gets requests
