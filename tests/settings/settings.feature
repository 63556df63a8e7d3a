Feature: Validation of settings
  Scenario Outline: an error names the wrong value and the allowed values
    Given valid settings
    When [<section>] <key> is set to "<value>"
    Then the error names "[<section>] <key>" and "<allowed>"

    Examples:
      | section  | key    | value          | allowed                        |
      | host     | name   | No Spaces      | unique name of this host       |
      | host     | listen | 127.0.0.1      | callers and operators, ip:port |
      | host     | inner  | localhost:1    | other hosts, ip:port           |
      | host     | inner  | 127.0.0.1:7777777 | other hosts, ip:port        |
      | platform | url    | ftp://1.2.3.4  | base URL of the platform       |
      | platform | poll_s | -1             | mean seconds between reads     |
      | limits   | colour | red            | allowed keys: body_bytes       |

  Scenario: a secret never appears in an error
    Given valid settings
    When [keys] inner is set to "tooshort"
    Then the error names "[keys] inner" and "proved by each host"
    And the error does not contain "tooshort"

  Scenario: an unreadable file is reported with its path
    When a file that does not exist is loaded
    Then the error names "cannot be read" and "absent.ini"
