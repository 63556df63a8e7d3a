Feature: Invalid requests on the callers' port
  Each invalid request gets a 4xx response with code, message, verdict and
  request id, and the host still serves valid requests.

  Scenario Outline: a malformed request is refused with a reason
    Given a host with a client account and a generation service
    When <request> is sent
    Then the response is <status> "<code>" and nothing was run
    And the host still serves a generation

    Examples:
      | request                              | status | code              |
      | a completion that is not JSON        | 400    | bad_request       |
      | a completion that is a JSON list     | 400    | bad_request       |
      | a completion without a prompt        | 400    | bad_request       |
      | a completion with max_tokens 0       | 400    | bad_request       |
      | a completion without a key           | 401    | unauthorized      |
      | a completion with a wrong key        | 401    | unauthorized      |
      | a completion of an unknown service   | 404    | not_found         |
      | a body over the limit                | 413    | payload_too_large |
      | a chunked body over the limit        | 413    | payload_too_large |
      | headers over the limit               | 431    | headers_too_large |
      | an unknown path                      | 404    | not_found         |
      | a Last-Event-ID without offset       | 400    | bad_request       |
      | a Last-Event-ID of another generation | 400   | bad_request       |
      | an unknown generation                | 410    | generation_lost   |
      | an application call without service  | 404    | not_found         |
      | an operator's call with a caller's key | 403  | forbidden         |

  Scenario: secrets appear in no log line
    Given a host with a client account and a generation service
    When a completion with a wrong key is sent
    And an operator's call with a caller's key is sent
    Then no log line contains a key
    And every log line is a JSON object with host and availability zone

  Scenario: a served generation is logged with request, attempt and verdict
    Given a host with a client account and a generation service
    When the host still serves a generation
    Then a log line has its request id, attempt 1 and verdict ran
