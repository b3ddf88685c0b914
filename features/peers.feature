Feature: Exchange of fleet state over real connections
  Processes exchange configuration and membership by gRPC. Guards against
  processes that stay without a configuration while the store is down.

  Scenario: A configuration reaches processes that have no store
    Given a process "one" that holds revision 3 from its store
    And processes "two, three" whose store is away
    Then all are ready with revision 3
    And all know "one, two, three"
    When "two" departs
    Then all hold "two" leaving
    When process "one" takes revision 4 from its store
    Then all are ready with revision 4

  Scenario: A process without store and peers
    Given processes "lonely" whose store is away
    Then "lonely" is not ready for lack of a configuration
