//! Why bytes are no HTTP/1.1.

use quick_error::quick_error;

quick_error! {
    /// What is wrong with a head or a body.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Fault {
        /// The bytes are no head.
        Head(cause: String) {
            display("malformed head: {cause}")
        }
        /// The head is longer than is allowed.
        LongHead(most: usize) {
            display("the head is longer than {most} bytes")
        }
        /// The end of the body can't be told for sure.
        Length(cause: &'static str) {
            display("malformed body length: {cause}")
        }
        /// A chunk of the body is malformed.
        Chunk(cause: &'static str) {
            display("malformed chunk: {cause}")
        }
        /// The connection ended inside the message.
        Cut {
            display("the connection ended inside the message")
        }
    }
}
