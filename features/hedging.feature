Feature: Late calls to an engine are looked into

  Scenario: A late call whose time is up is left to end by itself
    Given an engine that is well
    When a call to it is looked into after its time is up
    Then the look ends without an error and leaves the call unsettled

  Scenario: A call over a new connection takes none that is about to end
    Given an engine that answers and ends connections late
    When its health is asked for twice
    Then both calls are answered, each over a connection of its own
