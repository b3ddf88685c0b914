Feature: Late calls to an engine are looked into

  Scenario: A late call whose time is up is left to end by itself
    Given an engine that is well
    When a call to it is looked into after its time is up
    Then the look ends without an error and leaves the call unsettled
