Feature: What an entry concludes from silence and refusals
  Pure decisions, with made-up times in seconds.

  Scenario: A run that stands still is judged until something shows why
    Given a run that may be silent for 1.0 s
    Then after 0.6 s of silence it is judged again at 0.65 s
    And after 0.65 s of silence, once few engines are suspected, it is moved
    And after 1.98 s of silence it is judged again at 2.0 s
    And after 2.0 s of silence it is moved, whatever is suspected
