Feature: A deployment with TLS between its processes

  Background:
    Given a small deployment with TLS runs and logs all that it can

  Scenario: A stream goes on while all certificates are renewed
    When a team streams 900 tokens from entry 0
    And the certificates of all processes are renewed under the stream
    And entry 1 is killed and started again under the stream
    Then the stream is whole
    And a completion from entry 1 is whole
    And each agent has used its new files and refused nothing
    And each process tells when its certificate ends

  Scenario: Keys are in no log, dump or metric
    When callers ask with good keys and bad ones, rightly and wrongly
      | method | path                                   | body                              | headers                         | status |
      | POST   | /v1/completions                        | {"model": "MODEL", "prompt": "x", "max_tokens": 2} | Authorization: Bearer KEY       | 200    |
      | POST   | /v1/completions                        | {"model": "MODEL", "prompt": "x", "max_tokens": 2} | Authorization: Bearer BAD       | 401    |
      | POST   | /v1/completions                        | {"model": "MODEL", "prompt": "x", "max_tokens": 2} | Authorization: KEY              | 401    |
      | POST   | /v1/completions                        | {"model": "MODEL", "prompt": "x", "max_tokens": 2} | Authorization: Basic BAD        | 401    |
      | POST   | /v1/completions?api_key=KEY            | {"model": "MODEL", "prompt": "x", "max_tokens": 2} | Authorization: Bearer KEY       | any    |
      | POST   | /v1/completions                        | {"model": "KEY", "prompt": "x", "max_tokens": 2}   | Authorization: Bearer KEY       | 404    |
      | POST   | /v1/completions                        | {"KEY": KEY                       | Authorization: Bearer KEY       | 400    |
      | POST   | /v1/completions                        | {"model": "MODEL", "prompt": "KEY", "max_tokens": 2} | Authorization: Bearer KEY     | 200    |
      | POST   | /v1/completions                        | {"model": "MODEL", "prompt": "x", "max_tokens": 2} | Authorization: Bearer KEY; Idempotency-Key: KEY | any |
      | GET    | /KEY                                   |                                   | Authorization: Bearer KEY       | 404    |
      | POST   | SERVICE                                | {"KEY": "KEY"}                    | Authorization: Bearer KEY; X-Key: KEY; Idempotency-Key: order-1 | 200 |
      | POST   | SERVICE?key=KEY                        | {}                                | Authorization: Bearer KEY       | any    |
    And an agent is killed while a team streams
    Then no log, dump or metric of a daemon holds a team's key or a bad one
    And none holds a private key of a process
