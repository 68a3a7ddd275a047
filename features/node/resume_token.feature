Feature: Resume tokens

  Scenario: A token is valid only for its own workspace
    Given the resume token of a generation of workspace "celje"
    Then it is accepted for workspace "celje"
    And it is refused for workspace "maribor"

  Scenario: Forged and damaged tokens are rejected
    Given the resume token of a generation of workspace "celje"
    When 1000 changed or arbitrary tokens are checked
    Then none of them is accepted
