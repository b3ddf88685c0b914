Feature: The examples that come with the source

  Scenario Outline: An example's rules fit its deployment
    When the example "<name>" is checked with all its endpoints
    Then the checker finds nothing to say
    And it has 40 engines and 3 plain services in 3 failure domains
    And neighbouring stages of a replica stand in different failure domains

    Examples:
      | name        |
      | cooperative |
      | huber       |

  Scenario: A mistake in a deployment file is shown with its place
    Given the example "cooperative" with "replicas" misspelt in line 16
    When that deployment file is read
    Then the error names line 16 and the field "replicsa"

  Scenario: Trials side by side never pick the same ports
    When 2 processes pick 300 ports each and hold none of them
    Then no port was picked twice
