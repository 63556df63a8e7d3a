Feature: Prompt parts that crash engines
  Background:
    Given a platform with 6 engines in two zones that crash on a prompt part

  Scenario Outline: a part that crashes engines soon reaches none of them
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When <kind> with the part come at each front for 12 s, beside sound streams
    Then no more than 3 of them reached engines later than 4 s after the fifth crash
    And sound streams began at once in more than half of the cases

    Examples:
      | kind               |
      | streams            |
      | lookups            |
      | orders             |

  Scenario: fronts that are killed and restarted know the part
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When streams with the part come at each front for 4 s, beside sound streams
    And all fronts are killed and restarted
    And streams with the part come at each front for 6 s, beside sound streams
    Then no engine has crashed since the restart
    And sound streams began at once in more than half of the cases

  Scenario: fronts of a zone that is cut off from the store share what they learn
    Given fronts f1, f2 in north-1 behind links to the store
    When the zone is cut off from the store
    And streams with the part come at f1 until it is quarantined there
    Then within 1 s a stream with the part at f2 is refused as not run
    When the zone reaches the store again
    Then within 8 s a new front f3 in north-2 refuses a stream with the part

  Scenario: an operator releases a part that crashes engines no more
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When a sound stream has been served at f1
    And streams with the part come at f1 until it is quarantined there
    Then within 1 s the command line lists the part as quarantined
    When the engines are mended and the command line releases the part
    Then within 2 s a stream with the part is served at each front
