//! What a shard knows without asking the store.

use unit::{Digest, Token};

use crate::ask::What;
use crate::claim::Record;
use crate::shard::Shard;
use crate::slot::{FREED, Piece, fold};

impl Shard {
    /// What is known of a key here, pending notes counted in, without the sealed segments.
    pub(crate) fn peek(&self, key: Digest) -> Option<Record> {
        let noted = self.noted(key);
        fold(noted.chain(self.held(key)))
    }

    /// Whether an end or a release of this try was reported here.
    pub(crate) fn is_over(&self, key: Digest, token: Token) -> bool {
        let noted = self.noted(key);
        let said = noted.chain(self.held(key));
        said.into_iter().any(|piece| match piece {
            Piece::Claim(record) => record.token != token || record.end.is_some(),
            Piece::End(of, _) => of == token,
            Piece::Free(of) => of.contains(&token),
        })
    }

    /// What the head says of a key.
    fn held(&self, key: Digest) -> impl Iterator<Item = Piece> {
        let heads = self.known.iter().map(|known| &known.head);
        heads.flat_map(move |head| head.pieces(key))
    }

    fn noted(&self, key: Digest) -> impl Iterator<Item = Piece> {
        let newest_first = self.notes.iter().rev();
        let of_key = newest_first.filter(move |note| note.what.key() == key);
        of_key.map(|note| match &note.what {
            What::End(end) => Piece::End(end.token, end.ended()),
            What::Free(_, token) => Piece::Free([*token; FREED]),
        })
    }

    /// Whether nothing waits to be written.
    pub(crate) fn is_settled(&self) -> bool {
        self.notes.is_empty() && self.flight.is_none() && self.queue.is_empty()
    }
}
