Feature: The operators' port
  Fails if the admin server reports a wrong state, health, readiness or
  metric, or does not start a drain on request.

  Scenario: State, health, metrics and drain
    Given an operators' port whose process is not ready for "no configuration"
    Then asking it for "/healthz" gives 200 with "healthy"
    And asking it for "/readyz" gives 503 with "no configuration"
    And asking it for "/debug/state" gives 200 with "revision"
    And asking it for "/metrics" gives 200 with "dunlintide_config_revision 7.0"
    And asking it for "/nothing" gives 404 with "problem"
    And telling it to drain gives 202 and begins the drain
