Feature: Requests to a host during its graceful stop
  Scenario Outline: streams are refused at once, calls when too little time is left
    Given a host whose graceful stop is <stage>
    When a <kind> arrives
    Then it is <outcome>

    Examples:
      | stage        | kind            | outcome                               |
      | not begun    | stream          | admitted                              |
      | not begun    | idempotent call | admitted                              |
      | begun        | stream          | refused as not run, connection closed |
      | begun        | idempotent call | admitted                              |
      | begun        | purchase        | admitted                              |
      | about to end | idempotent call | refused as not run, connection closed |
      | about to end | purchase        | refused as not run, connection closed |

  Scenario: a request that arrives while its idle connection is closed is dropped
    Given an idle connection to a host that is stopping
    When the host closes it as a purchase arrives
    Then nothing is forwarded and nothing is answered

  Scenario: a busy connection is not closed
    Given an idle connection to a host that is stopping
    When a purchase arrives and the host closes idle connections
    Then the purchase is forwarded
