Feature: Client of the store
  Calls to the platform's store have a time-out, and a failed call reports
  whether it may have been applied.

  Background:
    Given a store and a client with short timeouts

  Scenario: A write is made once, for the revision that its author saw
    When the client writes "a" over revision 0
    Then the write succeeds with the revision that a read shows
    When the client writes "b" over revision 0
    Then the write is lost
    And the store holds "a"

  Scenario: A write whose answer is lost may have been made
    When the store drops the next answer
    And the client writes "a" over revision 0
    Then the write fails and may have been applied
    And the store holds "a"

  Scenario: A store that is gone fails calls fast, and is found again
    When the store stops and the client's calls fail
    Then the next calls fail fast and were not applied
    When the store starts again at the same port
    Then the client reaches it again

  Scenario: A store that hangs holds a call for a bounded time
    When the store hangs
    And the client writes "a" over revision 0
    Then the write fails and may have been applied
    And the next call after the hang succeeds

  Scenario: A lease removes its keys when it ends
    When the client writes a key with a lease and revokes the lease
    Then the store holds nothing
    And renewing the lease says that it lapsed

  Scenario: A watch that goes silent is replaced
    Given a watch with a short silence bound
    When the store silences its watches
    And the watch has been replaced 6 times
    And the client writes "a" over revision 0
    Then the watch tells of "a" or of a new connection after it
    And the watch ends soon after it is told to

  Scenario: Chunks of keys are read in few calls
    Given 40 keys in the store
    Then the client reads all 40 in 3 calls
