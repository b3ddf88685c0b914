Feature: An answer counts only for the request whose id it echoes
  Endpoints may send answers late, on a kept connection, where the next answer
  is expected. Such an answer says nothing about the request that waits.

  Background:
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"

  Scenario Outline: A call is not run again for <answer>
    Guards against calls that may run once and run twice, or are answered with
    what belongs to another call.
    Given every service sends <answer> <delay> s after each second request of a connection
    When a caller sends 40 calls of "/orders/x" that take 0.05 s, one after the other
    Then each call got its own answer and ran once
    And the entry has counted foreign answers

    Examples: Before the run is over, and with its answer
      | answer                           | delay |
      | a refusal without an id          | 0.0   |
      | a refusal without an id          | 0.05  |
      | a refusal of an earlier request  | 0.0   |
      | a failure without an id          | 0.0   |
      | a success without an id          | 0.0   |
      | a success of an earlier request  | 0.02  |

  Scenario Outline: A stream is not run again for <answer>
    Guards against streams whose runs are doubled, and answers in the wrong
    stream.
    Given every engine sends <answer> 0.0 s after each second request of a connection
    When a caller sends 12 streams of 5 events, one after the other
    Then each stream is whole and ran once

    Examples:
      | answer                           |
      | a refusal without an id          |
      | a success of an earlier request  |

  Scenario: However its bytes are cut, a request gets its own answer
    Guards against a reader that depends on how answers arrive, with up to four
    foreign ones before a request's own.
    Then the answer read is that with the id, whatever comes before it

  Scenario: A connection whose answer was not read is not used again
    Guards against a request that waits for its timeout, since nothing is read
    from its connection any more.
    When an answer of 90 KB has arrived and was not read
    Then its connection is not used again, but is once it was read

  Scenario: Whatever comes, a connection holds little of it
    Guards against memory that grows with what is sent, for each kind of bytes
    without end and any size of the pieces that arrive.
    Then no endless answer makes a connection hold over 256 KB or go on for 4 MB unread

  Scenario: A refusal that comes twice is not taken for one of the next send
    Guards against a second run: a request that was refused is sent again on
    the connection on which the second refusal arrives late.
    Given a connection that has carried the request "r-1"
    Then the connection is not used for "r-1" again, but for "r-2"
    And a request without an id gets a new connection
