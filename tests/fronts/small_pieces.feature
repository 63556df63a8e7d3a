Feature: Answers of many small pieces without end
  Background:
    Given a platform with a sound desk

  Scenario Outline: calls beside endless answers are answered in time
    Given <count> engines that send <kind> without end, and a front
    When <count> callers ask the engines while others buy
    Then all purchases are answered, nine of ten of them within 0.3 s
    And the front's memory has grown by at most 16 MiB
    And the callers of the engines get 502 or 504 within 6 s

    Examples:
      | count | kind                  |
      | 1     | chunks of one byte    |
      | 8     | chunks of two bytes   |
      | 50    | chunks of two bytes   |
      | 50    | chunks of three bytes |
      | 8     | a chunk extension     |
      | 50    | a chunk extension     |
      | 50    | trailers              |
      | 50    | interim answers       |

  Scenario Outline: calls beside endless streams are answered in time
    Given <count> engines that send <kind> without end, and a front
    When <count> callers request streams of 130 events while others buy
    Then all purchases are answered, nine of ten of them within 0.3 s
    And the front's memory has grown by at most 16 MiB

    Examples:
      | count | kind                         |
      | 1     | the same event at full speed |
      | 8     | the same event at full speed |
      | 50    | the same event at full speed |
      | 8     | event chunks of two bytes    |
      | 8     | lines of two bytes           |
      | 8     | a chunk extension            |
      | 8     | events                       |

  Scenario Outline: calls beside streams without a limit of tokens
    Given <count> engines that send events without end, and a front
    When <count> callers request streams without a limit while others buy
    Then all purchases are answered, nine of ten of them within 0.3 s

    Examples:
      | count |
      | 1     |
      | 8     |

  Scenario: a stream goes on at a sound engine after an event was repeated
    Given a sound engine
    And 1 engines that send the same event at full speed without end, and a front
    When a caller requests a stream of 20 events
    Then the caller has received events 1 to 20 and a complete answer within 2 s
    And the front logs that an event was repeated
    And no request is quarantined
