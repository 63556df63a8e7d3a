Feature: What a host that is leaving still takes
  Scenario Outline: streams are refused at once, calls until they could not end
    Given a host whose graceful stop is <stage>
    When a <kind> arrives
    Then it is <outcome>

    Examples:
      | stage           | kind             | outcome                        |
      | not begun       | stream           | admitted                       |
      | not begun       | idempotent call  | admitted                       |
      | begun           | stream           | refused as not run, go elsewhere |
      | begun           | idempotent call  | admitted                       |
      | begun           | purchase         | admitted                       |
      | about to end    | idempotent call  | refused as not run, go elsewhere |
      | about to end    | purchase         | refused as not run, go elsewhere |

  Scenario: what crosses the close of an idle connection is not forwarded
    Given an idle connection of a host that is leaving
    When the host closes it as a purchase arrives
    Then nothing is forwarded and nothing is answered

  Scenario: a busy connection is not closed
    Given an idle connection of a host that is leaving
    When a purchase arrives and the host closes idle connections
    Then the purchase is forwarded
