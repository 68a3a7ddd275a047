Feature: Answers of faulty endpoints are neither completed nor trusted

  Scenario Outline: A request whose answer stops inside its head gets no success
    Given a world whose <endpoint> answers with <what>
    When a client makes a once-only request
    Then the client got no success
    And no answer states that the request has not run

    Examples:
      | endpoint       | what                         |
      | plain endpoint | a part of a status line      |
      | plain endpoint | a status line                |
      | plain endpoint | a part of a head             |
      | plain endpoint | a part of a header line      |
      | plain endpoint | a head without its last byte |
      | engine         | a part of a head             |
      | engine         | a head without its last byte |

  # Guards against lines that are passed on or change where the body begins.
  Scenario Outline: An answer whose head is not valid HTTP is not passed on
    Given a world whose <endpoint> answers with <what>
    When a client makes a once-only request
    Then the client is told that the request may have run

    Examples:
      | endpoint       | what                                           |
      | plain endpoint | a status of 000                                |
      | engine         | a status of 000                                |
      | plain endpoint | a blank inside the name of a field             |
      | engine         | a blank inside the name of a field             |
      | plain endpoint | a blank before the name of a field             |
      | engine         | a blank before the name of a field             |
      | plain endpoint | a blank before the name of the length          |
      | plain endpoint | a control byte inside the name of a field      |
      | engine         | a control byte inside the name of a field      |
      | plain endpoint | a line feed before the name of a field         |
      | engine         | a line feed before the name of a field         |

  # Guards against a refusal of another request that is taken for this one's.
  Scenario Outline: A refusal that names another request does not count
    Given a world whose <endpoint> answers with <what>
    And a second endpoint that works
    When a client makes a once-only request
    Then no answer states that the request has not run
    And the request reached one endpoint only

    Examples:
      | endpoint       | what                                 |
      | plain endpoint | a refusal of an earlier request      |
      | plain endpoint | a misdirection of an earlier request |
      | engine         | a refusal of an earlier request      |

  Scenario: An answer that ends with its connection is complete
    Given a world whose plain endpoint answers with a body that ends with the connection
    When a client makes a once-only request
    Then the client got the complete answer "whole"

  Scenario: A stream that ends with its connection is complete
    Given a world whose engine answers with a stream that ends with the connection
    When a client makes a once-only request
    Then the client got a stream of 2 events that is complete

  # Guards against streams that look complete and end inside an event.
  Scenario Outline: A stream that ends inside an event is broken off
    Given a world whose engine answers with <what>
    When a client makes a once-only request
    Then the client got a stream of 2 events that is broken off

    Examples:
      | what                                   |
      | a stream that ends inside an event     |
      | a stream that ends before a blank line |

  # Guards against a reset that only the task that sends the request is told of.
  Scenario Outline: An endpoint that <ending> during an upload: <kind>, <way>, <what>
    Given a world whose <endpoint>, reached <way>, sends <what> and <ending>
    When a client makes a <kind> request with a body of 4 MB
    Then the client got nothing that looks like the endpoint's complete answer
    And the endpoint was asked 1 times

    Examples:
      | kind       | endpoint       | what                                    | way            | ending       |
      | once-only  | plain endpoint | a body that ends with the connection    | directly       | resets       |
      | once-only  | plain endpoint | a body that ends with the connection    | directly       | resets later |
      | once-only  | plain endpoint | a body that ends with the connection    | through a peer | resets       |
      | once-only  | plain endpoint | a body that ends with the connection    | through a peer | resets later |
      | once-only  | plain endpoint | a failure that ends with the connection | directly       | resets       |
      | repeatable | plain endpoint | a body that ends with the connection    | directly       | resets       |
      | generation | engine         | a stream that ends with the connection  | directly       | resets       |
      | generation | engine         | a stream that ends with the connection  | directly       | resets later |
      | generation | engine         | a stream that ends with the connection  | through a peer | resets       |

  Scenario Outline: An answer that is reset during an upload is repeated: <kind>, <way>
    Given a world whose <endpoint>, reached <way>, sends <what> and resets
    And a second endpoint that is found after the request was sent
    When a client makes a <kind> request with a body of 4 MB
    Then the client got the second endpoint's complete answer

    Examples:
      | kind                 | endpoint       | what                                   | way            |
      | repeatable           | plain endpoint | a body that ends with the connection   | directly       |
      | repeatable           | plain endpoint | a body that ends with the connection   | through a peer |
      | resumable generation | engine         | a stream that ends with the connection | directly       |

  # Guards against whole answers that are lost with the rest of an upload.
  Scenario Outline: A whole answer during an upload, after which its endpoint <ending>: <what>, <way>
    Given a world whose plain endpoint, reached <way>, sends <what> and <ending>
    When a client makes a once-only request with a body of 4 MB
    Then the client got the endpoint's complete answer, with status <status>

    Examples:
      | what                                 | way            | ending            | status |
      | a refusal with a length              | directly       | resets            | 413    |
      | a refusal with a length              | through a peer | resets            | 413    |
      | a body with a length                 | directly       | resets            | 200    |
      | a body with a length                 | through a peer | resets            | 200    |
      | a body in chunks                     | directly       | resets            | 200    |
      | a body that ends with the connection | directly       | ends, then resets | 200    |
      | a body that ends with the connection | through a peer | ends, then resets | 200    |
      | a refusal with a length              | directly       | stops reading     | 413    |
      | a refusal with a length              | through a peer | stops reading     | 413    |
      | a body in chunks                     | through a peer | resets            | 200    |
