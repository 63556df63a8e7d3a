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
