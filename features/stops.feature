Feature: What an entry reads while it shuts down ends before the process does
  Real entries get SIGTERM, and SIGKILL at the end of their grace period, while
  callers go on sending, on new connections and on kept ones.

  Background:
    Given a platform with engines and services in failure domains "a" and "b"

  Scenario Outline: A call that is accepted while the entry stops is not cut off
    Guards against calls that were accepted until 1.5 s before the kill, however
    long they take, and against refusals of all that come after SIGTERM.
    Given a ready entry "one" in "a" with a grace of <grace> s
    And it has served calls of "/orders/x" that take <work> s
    When it is stopped while calls that take <work> s and may take <deadline> s arrive
    Then each call was answered or refused before the entry ended
    And no call that ran was refused, and none ran later
    And calls were served that arrived <served> s after SIGTERM

    Examples:
      | grace | work | deadline | served |
      | 5     | 1.5  | 3.0      | 1.3    |
      | 5     | 2.0  | 8.0      | 1.0    |
      | 3     | 0.05 | 8.0      | 1.8    |

  Scenario Outline: No call on a new connection is cut off, however late it comes
    Guards against calls that may run once, are passed on at the end of the
    grace period, and end with it.
    Given a ready entry "one" in "a" with a grace of <grace> s
    And it has served calls of "/orders/x" that take <work> s
    When it is stopped while 40 calls a second that take <work> s come on new connections
    Then each call was answered or refused before the entry ended
    And no call that ran was refused, and none ran later
    And each call that ran was served, and some were that came after SIGTERM

    Examples:
      | grace | work |
      | 5     | 0.05 |
      | 5     | 0.6  |
      | 3     | 0.3  |

  Scenario Outline: What is still open at the very end gets a true answer
    Guards against connections that end without a word: callers of calls that
    ran past the grace period, and of requests that waited for capacity.
    Given a ready entry "one" in "a" with a grace of <grace> s
    And a target latency of 8.0 s
    And services that have <slots> slots
    When it is stopped <delay> s after <calls> calls of "<path>" that take 30 s arrive
    Then <ran> of them are told that they may have run, and the others to return
    And each call was answered or refused before the entry ended
    And the log tells how each of the <ran> calls ended

    Examples: The operator allows each call 8 s; a service takes one call more
      | grace | slots | delay | calls | path      | ran |
      | 1     | 16    | 0.5   | 5     | /orders/x | 5   |
      | 3     | 16    | 0.5   | 5     | /lists/x  | 5   |
      | 3     | 1     | 0.0   | 7     | /orders/x | 4   |

  Scenario Outline: Nothing is sent that would be cut off, also for a retry
    Guards against retries, hedges and calls that have waited for capacity that
    are sent so late that the process ends before their answer.
    Given a ready entry "one" in "a" with a grace of 4 s
    And a target latency of <target> s
    And it has served calls of "<path>" that take 2 s
    And services that <do>
    When it is stopped 0.0 s after 6 calls of "<path>" that take 2 s arrive
    Then no call was sent later than 0.5 s after SIGTERM
    And each call was answered or refused before the entry ended
    And no call that ran was refused, and none ran later

    Examples: Each call needs 3.2 s of 3.65 s; a hedge is due after half the target
      | do                          | path      | target |
      | have 1 slots                | /orders/x | 8.0    |
      | lose the answers of 9 calls | /lists/x  | 8.0    |
      | have 9 slots                | /lists/x  | 2.0    |

  Scenario Outline: An entry ends by itself within its grace period
    Guards against a shutdown of fixed length that a short grace period cuts
    off, and against one that ignores a grace period that a reload shortens.
    Given a ready entry "one" in "a" with a grace of <grace> s
    When it is stopped 0.0 s after 5 calls of "/orders/x" that take 30 s arrive, and killed after <kill> s
    Then it ended by itself
    And 5 of them are told that they may have run, and the others to return
    And each call was answered or refused before the entry ended

    Examples: With another time until the kill the settings change to it
      | grace | kill |
      | 1     | 1    |
      | 2     | 2    |
      | 9     | 3    |
