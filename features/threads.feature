Feature: No long-lived thread of the entry ends in silence

  Scenario: A leader that fails is replaced
    Given a placement whose store of leaders breaks unexpectedly once
    Then another leader takes the place of the one that failed

  Scenario Outline: An error that ends a thread is logged without keys
    When a thread <name> of a process ends by an error that shows a key
    Then that process <ending> and its log has the error but no key

    Examples:
      | name   | ending      |
      | claims | was stopped |
      | other  | went on     |
