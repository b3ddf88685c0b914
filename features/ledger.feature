Feature: Ledger of non-idempotent attempts
  Guards against running an idempotency key twice, also after its answer
  has been evicted.

  Background:
    Given a ledger with 2 entries, 100 answer bytes and a window of 3

  Scenario: A repeat attaches, then replays
    When key "a" opens
    Then the ledger says "start"
    When key "a" opens
    Then the ledger says "attach"
    When key "a" finishes with 60 bytes
    And key "a" opens
    Then the ledger replays the answer of "a"

  Scenario: Another body, and a claim on another life of the executor
    When key "a" opens
    And key "a" opens with another body
    Then the ledger says "key-reused"
    When key "b" opens for another incarnation
    Then the ledger says "executor-gone"

  Scenario: An evicted answer leaves a tombstone
    When key "a" opens
    And key "a" finishes with 60 bytes
    And key "b" opens
    And key "b" finishes with 60 bytes
    And key "a" opens
    Then the ledger says "dropped"

  Scenario: An attempt that its caller was told did not run never runs
    When key "a" is asked for before it opens
    Then the ledger says "sealed"
    When key "a" opens
    Then the ledger says "sealed"
    When key "a" opens by another attempt
    Then the ledger says "start"

  Scenario: A full ledger refuses rather than forgets
    When key "a" opens
    And key "b" opens
    And key "c" opens
    Then the ledger says "full"

  Scenario: A claim as old as a forgotten tombstone does not run
    When key "a" opens
    And key "a" finishes with 60 bytes
    And 4 generations pass
    Then the ledger holds 0 entries and 0 bytes
    When key "a" opens
    Then the ledger says "expired"

  Scenario: No order of events runs a key's attempt twice
    Then any order of opens, ends and generations runs each attempt once
