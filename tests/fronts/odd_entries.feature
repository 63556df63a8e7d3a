Feature: Odd entries among those of backend servers, and odd headers
  Scenario Outline: requests are served beside an entry that names no usable server
    Given desks d1, d2 and engines e1, e2
    And an entry of each service with <oddity>
    And a front
    When callers send lookups, purchases and streams for 0.6 s
    Then all requests were served
    And the front has logged each odd entry once
    When desk d3 and engine e3 are added
    Then they get requests within 3 s

    Examples:
      | oddity                               |
      | an address with a NUL byte           |
      | an address outside ASCII             |
      | an address with a space              |
      | an address with a line break         |
      | an address with a user               |
      | a port out of range                  |
      | a negative port                      |
      | a port in other digits               |
      | a name for a host                    |
      | a key outside ASCII                  |
      | a key with a line break              |
      | a key with half of a surrogate pair  |
      | 5000 nested lists                    |
      | a number of 400 digits               |
      | a time of NaN                        |
      | a time without end                   |
      | negative slots                       |
      | a version of 100000 characters       |
      | a zone of 100000 characters          |

  Scenario: a header of a caller has other characters than ASCII
    Given desks d1, d2 and engines e1, e2
    And a front
    When a caller sends a header with the bytes "C3 A9 20 FF"
    Then it is served and the server got these bytes
    When a caller announces a prompt of 400 digits
    Then it is refused as malformed
    When callers send lookups, purchases and streams for 1 s
    Then all requests were served

  Scenario Outline: a server states a load that is none
    Given desks d1, d2 and engines e1, e2
    And a front
    When d1 states the load "<load>"
    And callers send lookups, purchases and streams for 1 s
    Then all requests were served
    And d2 got requests

    Examples:
      | load      |
      | 1,1,-1    |
      | -9,0,1    |
      | huge,0,1  |
      | 0,0,huge  |
