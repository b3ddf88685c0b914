Feature: An entry is ready once it can serve what it offers

  Scenario Outline: Callers are sent to an entry that can serve them
    Given an entry that offers a model of 24 layers and a service
    When it has links to <agents>
    Then it is <started> just after its start
    And it is <later> from some seconds later on

    Examples:
      | agents                               | started   | later     |
      | none                                 | not ready | not ready |
      | layers 0-8                           | not ready | not ready |
      | layers 0-8, 8-16                     | not ready | not ready |
      | the service                          | not ready | ready     |
      | layers 0-8, 8-16, 16-24              | not ready | ready     |
      | layers 0-8, 16-24 and the service    | not ready | ready     |
      | layers 0-8, 8-24 and the service     | ready     | ready     |

  Scenario: It says up to which layer its agents reach
    Given an entry that offers a model of 24 layers and a service
    When it has links to layers 0-8, 8-16
    Then it names layer 16 and the service
