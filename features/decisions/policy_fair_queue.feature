Feature: Fair queue in expected tokens

  Scenario: A flooding workspace can't starve a small one
    Given workspace "large" has 100 waiting reports of 1000 tokens
    When workspace "small" adds 1 report of 1000 tokens
    Then workspace "small" is served within the next 2 requests

  Scenario: Quick labels go before long reports
    Given workspace "large" has 100 waiting reports of 1000 tokens
    When workspace "large" adds 5 urgent labels of 20 tokens
    Then the labels are served within the next 7 requests

  Scenario: Urgent work does not starve reports
    Given workspace "small" has 10 waiting reports of 1000 tokens
    When workspace "large" adds 5000 urgent labels of 20 tokens
    Then a report is served within the next 300 requests

  Scenario: A request that can't be placed returns to the front of its queue
    Given workspace "large" has 3 waiting reports of 1000 tokens
    When the first request is taken and put back
    Then the first request is served next and nothing is charged twice

  Scenario: Requests past their deadline are returned
    Given workspace "large" has 3 waiting reports of 1000 tokens
    Then all 3 are returned after their deadline

  Scenario: A small workspace is not predicted to wait for all of a large one
    Given workspace "large" has 100 waiting reports of 1000 tokens
    Then workspace "small" is predicted at most 1000 tokens ahead

  Scenario: Shares of busy workspaces follow their weights
    Then any weights and lengths keep busy workspaces within one request

  Scenario: Requests that can't be placed keep their order when put back in any order
    Given workspace "celje" has 6 reports that arrived one after the other
    When 4 of them are taken and put back in another order
    Then workspace "celje" is served in the order of arrival
