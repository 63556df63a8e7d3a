Feature: Backend servers that send without end
  Background:
    Given a platform

  Scenario Outline: an endless answer is cut and the call ends by its policy
    Given a front and a desk that sends <kind> without end
    When a caller <request>
    Then the caller gets 502 within 2 s
    And each connection was closed after at most 16 MiB
    And the front still answers

    Examples:
      | kind                               | request       |
      | header lines                       | buys          |
      | one header line                    | buys          |
      | interim answers                    | buys          |
      | no HTTP                            | buys          |
      | a body of a huge length            | buys          |
      | chunks                             | buys          |
      | trailers                           | buys          |
      | a body until the connection closes | buys          |
      | an error body                      | buys          |
      | chunks                             | looks up once |

  Scenario Outline: an endless stream is cut and goes on at a sound engine
    Given a front, an engine that sends <kind> without end and a sound one
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer

    Examples:
      | kind                     |
      | header lines             |
      | one header line          |
      | interim answers          |
      | an error body            |
      | an event that never ends |
      | comments                 |
      | the same event           |
      | single bytes             |

  Scenario: a stream of more events than requested tokens is not passed on whole
    Given a front and an engine that sends events without end
    When a caller requests a stream of 20 events
    Then the caller's answer is incomplete
    And the caller has at most 160 events

  Scenario: a stream of too many events does not go on at a sound engine
    Given a front, an engine that sends events without end and a sound one
    When a caller requests a stream of 20 events
    Then the caller's answer is incomplete

  Scenario: an engine whose report never ends is not waited for
    Given a front, an engine that sends reports without end and a sound one
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer

  Scenario: fifty endless servers take little memory
    Given a front and 50 desks that send chunks without end
    When 50 callers look up at once
    Then the front's memory has grown by at most 16 MiB
    And the front still answers
