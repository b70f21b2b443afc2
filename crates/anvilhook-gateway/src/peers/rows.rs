//! Encodes changed rows of a followed table into datagrams for an availability zone.
//!
//! A datagram carries one piece of the rows. An instance that loses a piece learns from the version
//! in digests that it is missing changes, and requests them.

use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhook_core::watches::Span;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::versions::FollowedTable;
use crate::tables::{Row, TableRevision};

/// The maximum bytes of rows in one datagram. With its header it stays below what a link carries in
/// one packet.
const PIECE_BYTES: usize = 1_200;

/// The maximum number of pieces in a span, and the bytes of rows that always fit into them.
const MAX_PIECES: usize = 32;
const SPAN_BYTES: usize = 30_000;

/// The maximum number of spans for one set of changes. A larger set is not published: sending it to
/// each of many instances would delay the requests on a slow link, and each instance can read it
/// from the table.
const MAX_SPANS: usize = 4;

/// The maximum bytes of an encoded row in addition to its key and value.
const ROW_BYTES: usize = 16;

/// `RowChanges` is a section of a table's history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChanges {
    /// The epoch of the store to which it belongs.
    pub epoch: u64,
    /// The versions that it covers.
    pub span: Span,
    /// The rows that changed in it, in order.
    pub rows: Vec<Row>,
}

impl RowChanges {
    /// Returns the revision of the newest change in it.
    pub fn newest(&self) -> TableRevision {
        let newest = self.rows.iter().map(|row| row.version).max();
        TableRevision::new(self.epoch, newest.unwrap_or_default())
    }

    /// Splits the rows into consecutive spans, each small enough to be published on its own.
    ///
    /// Changes of hundreds of engines at once exceed one span. If none of them were published, all
    /// instances of an availability zone would read the table, and learn late of an upstream that
    /// leaves.
    fn spans(&self) -> Vec<RowChanges> {
        let mut spans = Vec::new();
        let (mut after, mut rows, mut bytes) = (self.span.after, Vec::new(), 0);
        for row in &self.rows {
            let size =
                row.key.len() + row.value.as_ref().map_or(0, |value| value.len()) + ROW_BYTES;
            let last = rows.last().map_or(after, |last: &Row| last.version);
            // Rows of one transaction stay together: an instance that has one of them counts as
            // having all.
            if bytes + size > SPAN_BYTES && last > after && row.version > last {
                let span = Span { after, to: last };
                spans.push(RowChanges { epoch: self.epoch, span, rows: std::mem::take(&mut rows) });
                (after, bytes) = (last, 0);
            }
            rows.push(row.clone());
            bytes += size;
        }
        spans.push(RowChanges { epoch: self.epoch, span: Span { after, to: self.span.to }, rows });
        spans
    }
}

/// `RowsPiece` is one piece of encoded [`RowChanges`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsPiece {
    /// The table.
    pub table: FollowedTable,
    /// The epoch of the store to which the rows belong. It is encoded after the digest.
    #[serde(skip)]
    pub epoch: u64,
    /// The version of the newest change before the rows.
    pub after: u64,
    /// The version of the table after the rows.
    pub to: u64,
    /// The index of this piece, from 0.
    pub index: u16,
    /// The number of pieces.
    pub count: u16,
    /// The encoded bytes.
    pub bytes: Vec<u8>,
}

/// A row as encoded across all pieces: key, value unless the row was removed, and version.
type EncodedRow<'a> = (&'a str, Option<&'a [u8]>, u64);

/// Returns the pieces of changed rows; none if the rows are too large to publish.
pub fn pieces_of(table: FollowedTable, changes: &RowChanges) -> Vec<RowsPiece> {
    let spans = changes.spans();
    if spans.len() > MAX_SPANS {
        return Vec::new();
    }
    let pieces: Option<Vec<_>> = spans.iter().map(|span| span_pieces(table, span)).collect();
    pieces.unwrap_or_default().into_iter().flatten().collect()
}

/// Returns the pieces of one span; `None` if there are too many.
fn span_pieces(table: FollowedTable, changes: &RowChanges) -> Option<Vec<RowsPiece>> {
    let rows = changes.rows.iter().map(|row| (row.key.as_str(), row.value.as_deref(), row.version));
    let rows: Vec<EncodedRow<'_>> = rows.collect();
    let bytes = postcard::to_stdvec(&rows).ok()?;
    let chunks: Vec<_> = bytes.chunks(PIECE_BYTES).collect();
    if chunks.len() > MAX_PIECES {
        return None;
    }
    let Span { after, to } = changes.span;
    let count = chunks.len() as u16;
    let piece = |(index, bytes): (usize, &&[u8])| RowsPiece {
        table,
        epoch: changes.epoch,
        after,
        to,
        index: index as u16,
        count,
        bytes: bytes.to_vec(),
    };
    Some(chunks.iter().enumerate().map(piece).collect())
}

/// `Assembler` puts pieces together. It retains only the newest span of each sender and table, so
/// that lost pieces don't occupy memory.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: HashMap<(SocketAddr, FollowedTable), Partial>,
}

#[derive(Debug)]
struct Partial {
    epoch: u64,
    span: Span,
    pieces: Vec<Option<Vec<u8>>>,
}

impl Assembler {
    /// Adds a piece. Returns the rows once no piece is missing. Invalid pieces and undecodable rows
    /// are dropped.
    ///
    /// ```
    /// use anvilhook_core::watches::Span;
    /// use anvilhook_gateway::peers::{Assembler, FollowedTable, RowChanges, pieces_of};
    /// use anvilhook_gateway::tables::Row;
    ///
    /// let row = Row { key: "a".to_owned(), value: Some("b".repeat(2_000).into()), version: 7 };
    /// let span = Span { after: 5, to: 9 };
    /// let changes = RowChanges { epoch: 0, span, rows: vec![row] };
    /// let pieces = pieces_of(FollowedTable::Config, &changes);
    /// let (mut assembler, from) = (Assembler::default(), ([127, 0, 0, 1], 1).into());
    /// assert_eq!(assembler.take(from, pieces[1].clone()), None);
    /// assert_eq!(assembler.take(from, pieces[0].clone()), Some(changes));
    /// ```
    pub fn take(&mut self, from: SocketAddr, piece: RowsPiece) -> Option<RowChanges> {
        let RowsPiece { table, epoch, after, to, index, count, bytes } = piece;
        let (index, count) = (usize::from(index), usize::from(count));
        if index >= count || count > MAX_PIECES {
            return None;
        }
        let span = Span { after, to };
        let fresh = || Partial { epoch, span, pieces: vec![None; count] };
        let partial = self.partial.entry((from, table)).or_insert_with(fresh);
        if (partial.epoch, partial.span) != (epoch, span) || partial.pieces.len() != count {
            *partial = fresh();
        }
        partial.pieces[index] = Some(bytes);
        if partial.pieces.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.partial.remove(&(from, table))?;
        let bytes: Vec<u8> = partial.pieces.into_iter().flatten().flatten().collect();
        Some(RowChanges { epoch, span, rows: decode(&bytes)? })
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
