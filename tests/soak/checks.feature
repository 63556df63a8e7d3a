Feature: Checks of a soak
  Scenario Outline: a violated guarantee is reported
    Given evidence without findings
    But <change>
    Then the finding says <finding>

    Examples:
      | change                                         | finding                        |
      | a purchase ran twice                           | ran 2 times                    |
      | a purchase refused with 503 ran                | reported as not run, but ran   |
      | a purchase refused with 401 ran                | refused, but ran               |
      | an answer belongs to another request           | the answer belongs to another  |
      | an answer is not valid JSON                    | the answer is not valid JSON   |
      | an answer names a server without a run         | a server that did not run it   |
      | a stream misses an event                       | out of order                   |
      | a stream has an event twice                    | out of order                   |
      | a stream ends normally after too few events    | ended normally after 1 events  |
      | an answer arrives 1 s after the deadline       | answered after                 |
      | a run of a request that was never sent         | a request that was never sent  |
      | a stream moves while its first run continues   | runs overlap for               |
      | a resumed server starts a run and continues it | runs overlap for               |
      | a 0.6 s run starts and ends during another run | runs overlap for               |
      | a purchase runs 6 s after its key is revoked   | ran with a key revoked         |
      | four purchases ran and got no response         | ran and got no response status |
      | a quarter of requests fails after recovery     | served after recovery          |
      | no request is sent after recovery              | no request was sent            |
      | a front is not ready after recovery            | not ready after recovery       |
      | a front sends no call to an added server       | sent none of 1 calls           |
      | a front exits with an error                    | exited unexpectedly            |
      | a front logs an error                          | an error was logged            |

  Scenario Outline: permitted behaviour is not reported
    Given evidence without findings
    But <change>
    Then there is no finding

    Examples:
      | change                                            |
      | a 0.3 s run starts and ends during another run    |
      | a lookup ran twice                                |
      | a purchase refused with 503 did not run           |
      | a stream is reset after some events               |
      | a stream is reset within an event                 |
      | a purchase runs 4 s after its key is revoked      |
      | a stream moves after its first run has ended      |
      | a front sends a call to an added server           |
      | a stream moves while its suspended server runs it |
      | a resumed server starts a run and ends it at once |
      | an answer is late from a front that was suspended |
