Feature: Nodes share evidence of failing endpoints

  Scenario: An endpoint that fails for several nodes is ejected for the whole zone
    Given a world with 2 plain endpoints and 5 nodes
    And one endpoint that fails
    When 4 nodes have one failed call each
    Then no call of another node reaches the failing endpoint

  Scenario: An endpoint that fails for one zone serves the others
    When the nodes of one zone get 6 failures and those of each other 6 answers
    Then the endpoint is ejected for the one zone only

  Scenario: An endpoint that fails for nodes of several zones is ejected for all
    When one node of each of 4 zones gets a failure of a plain endpoint
    Then the endpoint is ejected for every zone

  Scenario: Batches that are repeated, late or sent after a restart count once
    When a node sends batches again, late and after a restart
    Then the evidence equals that of each answer counted once

  Scenario: Evidence of endpoints without recent answers is discarded
    When 500 endpoints answer once and then not for 61 seconds
    Then no evidence of them is kept
