Feature: Stand-ins for the outside systems
  Stand-ins must produce the faults they simulate; otherwise the tests that
  rely on them would pass without exercising any fault.

  Scenario: Tokens don't depend on how layers and spans are split
    Then stand-in models give the same tokens however they are split

  Scenario: What is left out, run twice or out of order shows in the tokens
    Then each wrong use of a stand-in model's layers or positions changes its token

  Scenario Outline: A chain of engines gives the reference's tokens
    Given stand-in engines that split the layers at "<splits>"
    When stand-in session "a" generates 12 tokens for "todays special is"
    Then stand-in session "a" has the tokens of the reference
    And each stand-in engine ran each of its layers once a position

    Examples:
      | splits |
      | 8      |
      | 1,8    |
      | 3,5,8  |

  Scenario: A step out of turn is refused and runs nothing
    Given stand-in engines that split the layers at "8"
    When stand-in session "a" generates 4 tokens for "todays special is"
    Then the stand-in engine refuses these steps of session "a"
      | epoch | position | error       |
      | 1     | 0        | position    |
      | 1     | 5        | position    |
      | 2     | 7        | position    |
      | 0     | 6        | stale-epoch |
    And each stand-in engine ran each of its layers once a position

  Scenario: A session goes on where its exported state is imported
    Given stand-in engines that split the layers at "8"
    And stand-in session "a" generates 4 of 9 tokens for "todays special is"
    When stand-in session "a" moves to a new stand-in engine
    And stand-in session "a" goes on there to its end
    Then stand-in session "a" has the tokens of the reference

  Scenario Outline: A session goes on in a higher epoch
    Given stand-in engines that split the layers at "3,8"
    And stand-in session "a" generates 4 of 9 tokens for "todays special is"
    When stand-in session "a" goes on in epoch 2 <how>
    Then stand-in session "a" has the tokens of the reference

    Examples:
      | how                             |
      | with the state that was kept    |
      | with a wrong position truncated |
      | from the prompt and 4 tokens    |

  Scenario: KV memory is bounded and comes back
    Given a stand-in engine with 10 tokens of KV memory
    Then the stand-in engine takes a prompt of 6 words as session "a"
    But the stand-in engine refuses a prompt of 6 words as session "b"
    When stand-in session "a" is deleted from the stand-in engine
    Then the stand-in engine takes a prompt of 6 words as session "b"

  Scenario Outline: An old fencing number
    Given a stand-in engine that <checks> fencing numbers
    When the stand-in engine gets orders with the fencing numbers 5 and 4
    Then the stand-in engine answers the second order with <status>

    Examples:
      | checks  | status |
      | checks  | 409    |
      | ignores | 200    |

  Scenario: The prefix cache is apart for each salt
    Given stand-in engines that split the layers at "8"
    When stand-in sessions with the salts "x", "y" and "x" ask for the same 40 words
    Then 32 tokens were found in the stand-in engine's cache

  Scenario: Load and cache events are late
    Given a stand-in engine whose load lags by 1 second and that loses half of its cache events
    Then the stand-in engine's load and cache events show late, with gaps

  Scenario: Of two racing writers one wins
    Given a stand-in store
    When two writers create the same key in the stand-in store
    Then one create in the stand-in store succeeded and the other saw the first one's value

  Scenario: A lost answer doesn't undo the write
    Given a stand-in store that loses the next answer
    When a put to the stand-in store gets no answer
    Then the stand-in store has that value
    And the next put to the stand-in store is answered

  Scenario: A lease that isn't kept alive takes its keys along
    Given a stand-in store
    When a key of the stand-in store hangs on a lease of 1 second, one on a kept one
    Then only the first key goes from the stand-in store
    And a watch of the stand-in store from before saw its removal

  Scenario: A value above one megabyte is refused
    Given a stand-in store
    Then the stand-in store takes a value of 1000000 bytes
    But the stand-in store refuses a value of 1000001 bytes

  Scenario: A restored backup sets the revision back
    Given a stand-in store
    When the stand-in store is saved, written to and restored
    Then the stand-in store has the saved revision and value
    And a watch of the stand-in store that was open has ended

  Scenario: An outage ends watches and answers nothing
    Given a stand-in store
    When the stand-in store goes down under an open watch
    Then a watch of the stand-in store that was open has ended
    And a read of the stand-in store gets no answer until it is up

  Scenario: A watch goes silent while a new one works
    Given a stand-in store
    When the open watch of the stand-in store is silenced and a key changes
    Then a new watch of the stand-in store sees the change and the old one nothing

  Scenario: A service records what ran though its answer is lost
    Given a stand-in service that loses the next answer
    When a call to the stand-in service gets no answer
    Then the stand-in service has recorded that call

  Scenario: A change of hosts shows late
    Given a stand-in host list that lags by 1 second
    Then a change shows in the stand-in host list, but not at once

  Scenario: Readers share the rate of the weight store
    Given a stand-in weight store of 400000 bytes a second
    Then two readers of 100000 bytes each take half a second at least

  Scenario Outline: A stand-in runs as a process
    When the stand-in "<name>" runs as a process
    Then the stand-in says its port, answers there, and ends on SIGTERM

    Examples:
      | name    |
      | store   |
      | engine  |
      | service |
      | hosts   |
      | weights |

  Scenario: A marked first word crashes the process of later layers
    When a stand-in engine process of later layers gets a marked first word
    Then the stand-in engine process has exited with status 1

  Scenario: A marked prompt crashes the engine's process
    When a stand-in engine process gets a prompt with its crash marker
    Then the stand-in engine process has exited with status 1
