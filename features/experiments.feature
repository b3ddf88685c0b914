Feature: Mechanisms are switched off for experiments only

  Scenario: Each mechanism can be switched off by its name
    Then settings that switch off any one mechanism are right
    And settings that switch off "luck" are refused and name all mechanisms

  Scenario: A deployment that serves has all of them
    Then settings that say nothing switch nothing off
    And the template of the deployment switches nothing off
