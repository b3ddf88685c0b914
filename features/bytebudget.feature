Feature: What callers, endpoints and entries make an entry hold has a bound
  Guards against an entry over its memory: connections kept the last body
  behind its answer, each body stood in memory up to four times, and nothing
  bounded the sum of those that arrived, waited or were sent.

  Scenario: Kept connections do not hold their last bodies
    When 40 callers send a body of 4 MB each in turn and keep their connection
    Then all are served and the process has grown by at most 64 MB

  Scenario Outline: Bodies that come at once <how> stay within the budget
    When 100 callers send bodies of 4 MB <how> and others small ones
    Then each large one is served or refused with a Retry-After
    And the small ones are served
    And the process has grown by at most 96 MB
    And the budget is whole again

    Examples:
      | how             |
      | to a slow entry |
      | but a last byte |
      | in chunks       |

  Scenario: Requests ahead of one that is refused are answered
    Guards against whole requests that were dropped with a connection on which
    a large one behind them found no memory.
    When a caller sends 2 small requests and a large one at once and there is no room
    Then it gets status 200, 200, 503 in order

  Scenario: A caller that sends ahead and reads nothing holds one answer
    Guards against answers without number in the output of a connection whose
    caller sends requests ahead, kept even when it is idle.
    When 10 callers send 300 requests ahead, get answers of 60 KB and read none
    Then the process has grown by at most 16 MB
    And no connection is left once none was read for the idle timeout
    And the budget is whole again

  Scenario: A caller that reads late gets all answers in order
    When a caller sends 16 requests ahead, gets answers of 60 KB and reads late
    Then it gets 16 whole answers in order

  Scenario: Unread answers leave room for other teams
    When more answers of a team are unread than it may hold
    Then those that have waited longest are given up
    And small requests of that team and large ones of another are granted

  Scenario: Large requests and unread answers leave room for small requests
    Guards against small calls that are refused since large requests and unread
    answers, each within its bounds, take the whole budget.
    When two teams hold all large requests and unread answers that they may
    Then small requests of a third team are granted

  Scenario: Heads without their end are counted
    Guards against heads of thousands of connections that no budget bounds.
    When 40 callers send a head of 7000 bytes without its end and there is room for 20
    Then 20 are refused with a Retry-After and the others when their time is over
    And the budget is whole again

  Scenario: An endpoint that reads slowly does not make copies of a body
    When a body of 32 MB in parts is sent to an endpoint that does not read
    Then the process has grown by at most 4 MB

  Scenario: A team's large requests leave room for its small ones and for others
    Guards against a team whose large bodies have its own small requests, or
    those of other teams, refused.
    When a team has reserved all large bodies that it may
    Then small requests of that team and large ones of another are granted

  Scenario: An entry that callers have filled answers its operators
    Guards against an entry that is taken out of use, and can't be asked why,
    as its callers hold all memory for requests.
    Given an entry with 32 MB
    When callers of two teams fill it with small requests that do not end
    Then a further small request is refused with a Retry-After
    And it is ready and tells its state

  Scenario: Events that have not arrived whole are counted
    Guards against parts of events of thousands of streams that no budget
    bounds.
    Given an entry with 160 MB and engines
    When 20 streams stop within their first event of 60 KB
    Then the entry counts at least 500 KB for them
    And it counts nothing once their callers are gone

  Scenario Outline: An entry that stops answers the large requests that it has read
    Guards against bodies that wait for memory, or arrive, when an entry stops.
    Given an entry with <memory> MB
    When it is stopped after <delay> s while callers come with large bodies in all ways
    Then each request that was read whole is answered
    And none that was refused has run

    Examples:
      | memory | delay |
      | 32     | 0.0   |
      | 32     | 0.4   |
      | 160    | 0.3   |

  Scenario: The budget keeps its promises
    Then whatever is held, forced and released, sums agree and limits hold
    And nothing waits while there is room for it
