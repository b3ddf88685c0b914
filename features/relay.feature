Feature: Relay that harms connections
  The relay injects connection faults: an open connection can stay silent
  for good, as after a lost route, while new connections work.

  Background:
    Given a relay before a stand-in service, with one connection in use

  Scenario Outline: Held connections are silent
    When the relay holds open connections <which>
    Then the relayed connection in use gets no answer
    And a new relayed connection <new>

    Examples:
      | which                | new           |
      | in both directions   | works         |
      | forward              | works         |
      | backward             | works         |
      | and all new ones     | gets no answer |

  Scenario: A held connection goes on with what it held
    When the relay holds open connections backward
    Then the relayed connection in use gets no answer
    When the relay lets held connections go on
    Then the relayed connection in use gets the answer that was held

  Scenario: A cut connection ends at once
    When the relay cuts its connections
    Then the relayed connection in use is reset
    And a new relayed connection works

  Scenario: A slow relay still delivers, later
    When the relay takes 0.2 s each way at 20000 bytes a second
    Then an answer through the relay takes at least 0.4 s

  Scenario: A lost answer silences its connection only
    When the relay loses the next answer
    Then the relayed connection in use gets no answer
    And a new relayed connection works

  Scenario: Connections through a narrow link share its bandwidth
    When the relay passes on 2000 bytes a second in all
    Then 4 answers at the same time take as long as all their bytes
