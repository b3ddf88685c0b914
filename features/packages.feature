Feature: Allowed imports between packages

  Scenario Outline: A package imports only what it may
    When the imports of package "<package>" are read
    Then of the workspace it imports at most "<allowed>"

    Examples:
      | package  | allowed                                |
      | core     |                                        |
      | adapters | core                                   |
      | daemon   | adapters, core, platform               |
      | cli      | adapters, core                         |
      | standins |                                        |
      | platform | adapters, core                         |
      | trials   | adapters, cli, core, daemon, standins, platform |

  Scenario: The decisions import nothing that does I/O or reads a clock
    When the imports of package "core" are read
    Then they leave out "asyncio, grpc, os, socket, subprocess, threading, time, urllib3, waitress"

  Scenario: Names of the platform's protocol stand in the adapter alone
    Then outside of the platform package no module names its headers, calls or fields
