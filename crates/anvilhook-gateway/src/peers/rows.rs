//! Changed rows of a followed table, told within an availability zone.
//!
//! A datagram carries a piece of them. Whoever loses one piece learns by the version told in digests
//! that it lacks something, and asks the table itself.

use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhook_core::watches::Span;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::versions::FollowedTable;
use crate::tables::Row;

/// The most bytes of rows in one datagram; with its head it stays below what a link takes in one piece.
const PIECE_BYTES: usize = 1_200;

/// The most pieces of one span, and the bytes of rows that surely fit into them.
const MAX_PIECES: usize = 32;
const SPAN_BYTES: usize = 30_000;

/// The most spans that some rows are told in. What is larger is not told: to send it to each of many
/// instances would hold up the requests on a slow link, and each can read it from the table.
const MAX_SPANS: usize = 4;

/// The bytes that a row takes beside its key and its value, at most.
const ROW_BYTES: usize = 16;

/// `RowChanges` is a part of a table's history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChanges {
    /// The part.
    pub span: Span,
    /// The rows that changed in it, in order.
    pub rows: Vec<Row>,
}

impl RowChanges {
    /// Returns the version of the newest change in it.
    pub fn newest(&self) -> u64 {
        self.rows.iter().map(|row| row.version).max().unwrap_or_default()
    }

    /// Returns the rows in spans that follow on each other, each small enough to be told by itself.
    ///
    /// Hundreds of engines that change at once are more than one span takes. Told of none of them, all
    /// instances of an availability zone would ask the table, and hear late of an upstream that leaves.
    fn spans(&self) -> Vec<RowChanges> {
        let mut spans = Vec::new();
        let (mut after, mut rows, mut bytes) = (self.span.after, Vec::new(), 0);
        for row in &self.rows {
            let size =
                row.key.len() + row.value.as_ref().map_or(0, |value| value.len()) + ROW_BYTES;
            let last = rows.last().map_or(after, |last: &Row| last.version);
            // Rows of one transaction stay together: whoever knows one of them counts as knowing all.
            if bytes + size > SPAN_BYTES && last > after && row.version > last {
                let span = Span { after, to: last };
                spans.push(RowChanges { span, rows: std::mem::take(&mut rows) });
                (after, bytes) = (last, 0);
            }
            rows.push(row.clone());
            bytes += size;
        }
        spans.push(RowChanges { span: Span { after, to: self.span.to }, rows });
        spans
    }
}

/// `RowsPiece` is a part of the bytes of some [`RowChanges`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsPiece {
    /// The table.
    pub table: FollowedTable,
    /// The newest change before the rows.
    pub after: u64,
    /// The table's version that the rows lead to.
    pub to: u64,
    /// Which piece this is, from 0.
    pub index: u16,
    /// How many there are.
    pub count: u16,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The bytes of rows, all pieces together: key, value if the row was not removed, and version.
type EncodedRow<'a> = (&'a str, Option<&'a [u8]>, u64);

/// Returns the pieces that tell of rows; none if they are too large to be told.
pub fn pieces_of(table: FollowedTable, told: &RowChanges) -> Vec<RowsPiece> {
    let spans = told.spans();
    if spans.len() > MAX_SPANS {
        return Vec::new();
    }
    let pieces: Option<Vec<_>> = spans.iter().map(|span| span_pieces(table, span)).collect();
    pieces.unwrap_or_default().into_iter().flatten().collect()
}

/// Returns the pieces of one span; `None` if they are too many.
fn span_pieces(table: FollowedTable, told: &RowChanges) -> Option<Vec<RowsPiece>> {
    let rows = told.rows.iter().map(|row| (row.key.as_str(), row.value.as_deref(), row.version));
    let rows: Vec<EncodedRow<'_>> = rows.collect();
    let bytes = postcard::to_stdvec(&rows).ok()?;
    let chunks: Vec<_> = bytes.chunks(PIECE_BYTES).collect();
    if chunks.len() > MAX_PIECES {
        return None;
    }
    let Span { after, to } = told.span;
    let count = chunks.len() as u16;
    let piece = |(index, bytes): (usize, &&[u8])| RowsPiece {
        table,
        after,
        to,
        index: index as u16,
        count,
        bytes: bytes.to_vec(),
    };
    Some(chunks.iter().enumerate().map(piece).collect())
}

/// `Assembler` puts pieces together. Of each sender only the newest span of a table is kept, so that
/// lost pieces take no room for longer.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: HashMap<(SocketAddr, FollowedTable), Partial>,
}

#[derive(Debug)]
struct Partial {
    span: Span,
    pieces: Vec<Option<Vec<u8>>>,
}

impl Assembler {
    /// Takes a piece in. Returns the rows if it was the last one that lacked; a piece that can't be
    /// right, and rows that can't be read, are dropped.
    ///
    /// ```
    /// use anvilhook_core::watches::Span;
    /// use anvilhook_gateway::peers::{Assembler, FollowedTable, RowChanges, pieces_of};
    /// use anvilhook_gateway::tables::Row;
    ///
    /// let row = Row { key: "a".to_owned(), value: Some("b".repeat(2_000).into()), version: 7 };
    /// let told = RowChanges { span: Span { after: 5, to: 9 }, rows: vec![row] };
    /// let pieces = pieces_of(FollowedTable::Config, &told);
    /// let (mut assembler, from) = (Assembler::default(), ([127, 0, 0, 1], 1).into());
    /// assert_eq!(assembler.take(from, pieces[1].clone()), None);
    /// assert_eq!(assembler.take(from, pieces[0].clone()), Some(told));
    /// ```
    pub fn take(&mut self, from: SocketAddr, piece: RowsPiece) -> Option<RowChanges> {
        let RowsPiece { table, after, to, index, count, bytes } = piece;
        let (index, count) = (usize::from(index), usize::from(count));
        if index >= count || count > MAX_PIECES {
            return None;
        }
        let span = Span { after, to };
        let fresh = || Partial { span, pieces: vec![None; count] };
        let partial = self.partial.entry((from, table)).or_insert_with(fresh);
        if partial.span != span || partial.pieces.len() != count {
            *partial = fresh();
        }
        partial.pieces[index] = Some(bytes);
        if partial.pieces.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.partial.remove(&(from, table))?;
        let bytes: Vec<u8> = partial.pieces.into_iter().flatten().flatten().collect();
        Some(RowChanges { span, rows: decode(&bytes)? })
    }
}

fn decode(bytes: &[u8]) -> Option<Vec<Row>> {
    let rows: Vec<EncodedRow<'_>> = postcard::from_bytes(bytes).ok()?;
    let row = |(key, value, version): EncodedRow<'_>| Row {
        key: key.to_owned(),
        value: value.map(Bytes::copy_from_slice),
        version,
    };
    Some(rows.into_iter().map(row).collect())
}
