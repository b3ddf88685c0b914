Feature: Settings of a daemon
  An error is reported with its position, the field, the bad value and the
  expected one, before anything starts.

  Scenario: Good settings of both roles are read, comments and all
    Given the settings of an entry
    Then the settings are accepted with a body limit of 1048576 bytes
    Given the settings of an agent
    Then the settings are accepted with layers 0 to 8 of 24

  Scenario: A spare engine names no model and no layers
    Given the settings of an agent
    When the model and the layers are left out of the settings
    Then the settings are accepted with layers 0 to 0 of 0

  Scenario Outline: A mistake is told with its place
    Given the settings of an agent
    When the text <old> of the settings becomes <new>
    Then the settings are refused at <place> with <message>

    Examples:
      | old           | new              | place | message                            |
      | "agent"       | "agnt"           | 3:11  | role: expected one of "entry", "agent", got "agnt" |
      | "agent"       | "entry"          | 1:1   | listen: an entry needs an address  |
      | "name"        | "nane"           | 3:20  | did you mean "name"?               |
      | "name"        | "nane"           | 1:1   | name: the field is missing         |
      | :9080         | :90800           | 4:40  | admin_listen: expected "HOST:PORT", port 0 to 65535, got "127.0.0.1:90800" |
      | 2379          | 2379/ü", "x": "  | 5:62  | unknown field "x"                  |
      | "layer_end":8 | "layer_end":0    | 9:34  | endpoint.layer_end: expected more than 0, got 0 |
      | "layer_end":8 | "layer_end":32   | 9:52  | endpoint.layer_count: expected 32 or more, got 24 |
      | "layer_end":8 | "layer_end":"8"  | 9:34  | expected a whole number, got "8"   |
      | "ping":1      | "ping":0         | 10:21 | timing.ping: expected a number of seconds above 0, got 0 |
      | "ping":1      | "ping":1,"ping":2 | 10:23 | duplicate key "ping"              |
      | "ping":1      | "ping":1,        | 10:23 | bad JSON                           |
