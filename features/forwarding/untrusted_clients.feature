@alone
Feature: A node survives clients that no one controls

  # Guards against the end of the process for lack of memory or descriptors,
  # and against a node that answers no one else. The crowd and the bounds were
  # fixed on the code that fails and are not to be changed.

  Scenario Outline: <members> clients send <form> to <listener>, <state> node
    When a crowd of <members> sends <form> to the listener for <listener> of a <state> node
    Then its process lives within its memory and descriptors
    And it answers one ordinary request

    Examples:
      | form                            | members | listener | state    |
      | bodies with a length            | 60      | clients  | fresh    |
      | bodies with a length, in pieces | 60      | clients  | fresh    |
      | bodies in large chunks          | 60      | clients  | fresh    |
      | bodies in two-byte chunks       | 60      | clients  | fresh    |
      | pipelined requests, unread      | 60      | clients  | fresh    |
      | halves of heads                 | 450     | clients  | fresh    |
      | streams, unread                 | 60      | clients  | fresh    |
      | all forms at once               | 60      | clients  | fresh    |
      | all forms at once               | 60      | clients  | relaying |
      | all forms at once               | 60      | control  | fresh    |
