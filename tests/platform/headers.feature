Feature: Headers of callers
  Scenario Outline: the parts of a prompt that other requests may share
    When a request has the prompt parts "<header>"
    Then the shared parts are "<shared>"

    Examples:
      | header                             | shared      |
      |                                    |             |
      | 5c1e07a2:800                       |             |
      | 5c1e07a2:800,91bd3f06:410,e4:250   | 5c1e07a2 91bd3f06 |
      | 5C1E07A2:800 , 91bd3f06:410,e4:250 | 5c1e07a2 91bd3f06 |
      | 5c1e:800,5c1e:800,e4:250           | 5c1e        |
      | ,:,5c1e,e4                         | 5c1e        |

  Scenario: a name of any length takes little memory
    When a request has prompt parts with names of 5000 characters
    Then each shared part has a name of 64 characters
    And different names stay different
