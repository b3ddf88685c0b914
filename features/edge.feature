Feature: An entry on the platform's store
  Entry processes run against stand-ins for the store, the engines and the
  services. The stand-ins record what they executed, so that a lost or
  repeated execution shows independently of the entry's own report.

  Background:
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"

  Scenario: The whole path serves a stream and calls
    When a caller streams 20 events as "s-1"
    Then "s-1" got 20 events in order, once and whole
    And every run of "s-1" had a chain that covers each layer once
    When a caller calls "/lists/x" as "c-1"
    Then a service ran "c-1" once and answered 200
    And no runner was ordered to hold more than its card takes

  Scenario: Keys decide the team and never reach a runner
    When a caller that claims team "church" calls "/lists/x" as "c-1"
    Then the run of "c-1" names team "diner" and holds no key
    And calling "/lists/x" with key "nobody" gets status 401
    And calling "/lists/x" without a key gets status 401
    And calling "/lists/public/x" without a key gets status 200
    And calling "/nowhere/x" with key "key-of-the-diner" gets status 404

  Scenario: The longest prefix decides
    When a caller calls "/lists/public/x" as "c-1"
    Then the entry's log says that rule "public" decided "c-1"
    And the command line explains that "public" decides a call of "/lists/public/x"
    And the command line explains that "lists" decides a call of "/lists/x"

  Scenario: A caller that leaves frees the engine
    When a caller that soon leaves streams 500 events as "s-1"
    Then the run of "s-1" is cancelled within 1 second
    And the entry holds no reservation

  Scenario Outline: A run at a stand-in ends with its connection, closed by <end>
    Guards against runs that a stand-in goes on to count as running when their
    caller resets the connection, as an abort with unread bytes does.
    When the connection of a stream "r-1" at an engine is closed by <end>
    Then the run of "r-1" is cancelled within 1 second

    Examples:
      | end |
      | FIN |
      | RST |

  Scenario: A call that may run once is not run again
    Given every service loses its next answer
    When a caller calls "/orders/x" as "c-1"
    Then "c-1" got status 502
    And "c-1" ran 1 time

  Scenario: A call that may be repeated is repeated elsewhere
    Given one service loses all its answers
    When a caller calls "/lists/x" 6 times
    Then all of them got status 200

  Scenario: Services that are full are told as not run
    Given every service is full
    When a caller calls "/orders/x" as "c-1"
    Then "c-1" was told 503 and when to return
    And "c-1" ran 0 times

  Scenario: A stream that breaks within an event goes on elsewhere
    Given every engine cuts its next stream within an event
    When a caller streams 20 events as "s-1"
    Then "s-1" got 20 events in order, once and whole
    And "s-1" ran 2 times

  Scenario: A stream that a full engine refuses after it broke goes on
    Given every engine cuts its next stream within an event
    And an engine with the first layer refuses its next 2 streams as full
    When a caller streams 20 events as "s-1"
    Then "s-1" got 20 events in order, once and whole
    And "s-1" ran 2 times

  Scenario: A stream under way is not given up after many refusals
    Given every engine cuts its next stream within an event
    And an engine with the first layer refuses its next 4 streams as full
    When a caller streams 20 events as "s-1"
    Then "s-1" got 20 events in order, once and whole
    And "s-1" ran 2 times

  Scenario: A stream under way waits for the budget of second sends
    Given the entry may send 1 request a second time in 2.0 s
    And every engine cuts its next stream within an event
    And an engine with the first layer refuses its next 1 streams as full
    When a caller streams 20 events as "s-1"
    Then "s-1" got 20 events in order, once and whole
    And "s-1" ran 2 times

  Scenario: An engine that goes on refusing is left to itself
    Given one engine with the first layer refuses all streams, as a dead one's neighbour does
    When 16 streams are asked, one each 0.25 s
    Then at most 6 of them were sent to that engine
    And each of them was answered whole

  Scenario: An engine that refused one entry is left by another at once
    Given a ready entry "two" in "b"
    And one engine with the first layer refuses all streams, as a dead one's neighbour does
    When it refuses a stream of entry "one"
    Then entry "two" is told of it within 0.14 s

  Scenario: A stream whose chain stands still goes on elsewhere
    When a caller starts to stream 60 events as "s-1"
    And one engine of its chain stands still
    Then "s-1" got 60 events in order, once and whole

  Scenario: A stream through an engine that started again goes on elsewhere
    Given engines that tell when they were born
    When a caller starts to stream 200 events as "s-1"
    And one engine of its chain starts again under its id
    Then "s-1" got 200 events in order, once and whole
    And "s-1" ran 2 times
    And the entry's log says that the run was abandoned
    And that engine holds layers again

  Scenario: An endpoint that leaves gets no new work
    Given one service reports that it drains
    When a caller calls "/lists/x" 20 times
    Then that service ran none of them

  Scenario: A second answer is never given to another request
    Given every service sends a second answer behind its next one
    When one connection calls "/lists/x" 12 times
    Then each answer belongs to its request

  Scenario: An answer without a length is passed on whole
    Given every service sends its next answer without a length
    When a caller calls "/orders/x" as "c-1"
    Then a service ran "c-1" once and answered 200

  Scenario: An engine that comes back empty gets layers again
    When an engine crashes and comes back
    Then it holds layers again within 8 seconds

  Scenario: Layers of a dead engine go to another while it is still listed
    Given spare engines "small" and "small" in "a" that hold layers
    When the engine of "a" whose layers no other there holds crashes and stays listed
    And 12 streams are asked, one each 0.25 s
    Then the entry's log names it lost, and an engine that is moved to its layers

  Scenario: Layers of a dead engine go to another while the store is away
    Given spare engines "small" and "small" in "a" that hold layers
    And the store has turned the entry away for 4.0 s
    When the engine of "a" whose layers no other there holds crashes and stays listed
    And 12 streams are asked, one each 0.25 s
    Then the entry's log names it lost, and an engine that is moved to its layers

  Scenario: An order carried out late does no harm
    Given a new engine of kind "small" that carries out its first order 2 seconds late
    Then it holds layers again within 8 seconds
    And it accepted 1 order

  Scenario: An order for an engine that is gone is none for that at its address
    Guards against engines that are ordered to hold more layers than they can,
    as the order was for another one whose address they have taken.
    When an engine ends and another one takes its address
    Then an order and a report for the first one get status 421 there
    And the other one has been ordered nothing by them

  Scenario: A version without any team left opens no route
    Guards against routes that anyone may use once the last team is removed.
    When the operator writes version 9 with an empty list of teams
    Then calling "/lists/x" with key "key-of-the-diner" gets status 401
    And calling "/lists/x" with key "nobody" gets status 401
    And calling "/lists/x" without a key gets status 401
    And calling "/lists/public/x" without a key gets status 200
    When the entry is started again
    Then calling "/lists/x" with key "nobody" gets status 401
    When the operator writes version 10 without a list of teams
    Then calling "/lists/x" without a key gets status 200

  Scenario: A newer configuration is in force, a broken one is not
    When the operator moves "/lists/" to another service name "gone"
    And the operator writes a configuration that can't be read
    Then calling "/lists/x" with key "key-of-the-diner" gets status 503
    And the entry's log has a line "configuration refused"

  Scenario: A lost history is read anew
    When the store forgets its history while one service begins to drain
    Then the entry knows that it leaves within 3 seconds

  Scenario: The entry serves on while the store is away
    Given the store refuses all calls with 503
    When a caller calls "/lists/x" 5 times
    Then all of them got status 200
    And the entry is ready

  Scenario: A process that knows no configuration says so
    Given the store refuses all calls with 503
    And an entry "two" in "a" that just started
    Then entry "two" is not ready and answers a call with 503
    When the store is sound again
    Then entry "two" is ready within 5 seconds

  Scenario: Entries tell each other of a newer configuration
    Given a ready entry "two" in "b"
    And the store is cut off from entry "two"
    When the operator removes the route "/lists/"
    Then entry "two" answers a call of "/lists/x" with 404 within 5 seconds

  Scenario: A stop cuts nothing off
    When a caller starts to stream 150 events as "s-1"
    And the entry gets SIGTERM
    Then the entry is not ready
    And "s-1" got 150 events in order, once and whole
    And the entry ends within 6 seconds

  Scenario: Changed settings are checked before they count
    When the settings file becomes "{broken"
    Then the entry's log has a line "settings refused"
    And calling "/lists/x" with key "key-of-the-diner" gets status 200

  Scenario: Metrics and state are served
    When a caller calls "/lists/x" as "c-1"
    Then the metrics count 1 complete call
    And the state dump shows the rules and no key

  Scenario: A lost answer of the store is settled by reading
    Given the store loses the answers of the next 6 writes
    And an entry "two" in "b" that just started
    Then entry "two" is ready within 5 seconds
    And one entry leads within 8 seconds
