//! Versions of lists, by which nodes decide which of two lists is newer.
//!
//! They are designed for the case that the platform's store is restored from a copy that is some seconds old. The
//! store then begins a new era, in which it assigns transaction numbers again that it had assigned before. A node
//! that reads the copy knows less than one that read the store before the restore, and both send their lists to
//! other nodes.

/// Set if no entry that the store lacks is expected to return to it.
const COMPLETE_BIT: u64 = 1;

/// Number of bits of the transaction number, above [`COMPLETE_BIT`].
const TRANSACTION_BITS: u32 = 40;

/// Set if the list comes from a node that knows the entries of the time before the era began.
const KNOWS_EARLIER_ERA_BIT: u64 = 1 << (TRANSACTION_BITS + 1);

/// Position of the lowest bit of the era.
const ERA_SHIFT: u32 = TRANSACTION_BITS + 2;

/// The state of the store from which a list was read, and what its reader knows in addition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// Era of the store; it rises with each restore from an older copy.
    pub era: u64,
    /// Number of the store's newest transaction.
    pub transaction: u64,
    /// Whether the reader knows the entries of the time before the era began.
    pub knows_earlier_era: bool,
    /// Whether entries that are missing in the store may still return to it.
    pub awaits_entries: bool,
}

impl ListReading {
    /// The list's version. Versions are ordered by era, then by whether the reader knows the earlier entries, then
    /// by transaction.
    ///
    /// Of two lists of the same transaction, one with entries that may still return counts as the older.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_edge::ListReading;
    ///
    /// let before = ListReading { transaction: 900, ..ListReading::default() };
    /// let after = ListReading { era: 1, transaction: 850, ..ListReading::default() };
    /// assert!(after.version() > before.version());
    /// ```
    pub fn version(self) -> u64 {
        let knows_earlier = u64::from(self.knows_earlier_era) * KNOWS_EARLIER_ERA_BIT;
        let complete = u64::from(!self.awaits_entries) * COMPLETE_BIT;
        self.era << ERA_SHIFT | knows_earlier | self.transaction << 1 | complete
    }
}

/// Whether the list in force, of version `known`, still has entries from before `era` began. A reader then keeps
/// the entries that a table of that era lacks. `read_in_era` is the era in which this node last read the table.
///
/// # Examples
/// ```
/// use dragonflystep_edge::{ListReading, is_older_copy};
///
/// let known = ListReading { transaction: 900, ..ListReading::default() }.version();
/// assert!(is_older_copy(known, 0, 1));
/// assert!(!is_older_copy(known, 0, 0));
/// ```
pub fn is_older_copy(known: u64, read_in_era: u64, era: u64) -> bool {
    let is_of_earlier_era = known > 0 && era_of(known) < era;
    is_of_earlier_era || read_in_era < era && knows_before(known, era)
}

/// The number of an order that was written in a transaction of an era. [`era_of`] also returns the era of such a
/// number.
pub fn order_number(era: u64, transaction: u64) -> u64 {
    era << ERA_SHIFT | transaction
}

/// Whether two numbers of orders with the same content belong to the same order. A store that was restored from an
/// older copy has it under another number.
///
/// # Examples
/// ```
/// use dragonflystep_edge::{is_same_order, order_number};
///
/// assert!(is_same_order(order_number(1, 90), order_number(2, 70)));
/// assert!(!is_same_order(order_number(1, 90), order_number(1, 95)));
/// ```
pub fn is_same_order(number: u64, other: u64) -> bool {
    number == other || era_of(number) != era_of(other)
}

/// The era of the store in which a list of version `known` was read.
pub fn era_of(known: u64) -> u64 {
    known >> ERA_SHIFT
}

/// Whether a list of version `known` came from a node that knows the entries of the time before `era` began.
///
/// Nodes with such a list accept only lists of such nodes as newer. Lists that they read from the store themselves
/// must therefore count as such as well.
pub fn knows_before(known: u64, era: u64) -> bool {
    era_of(known) == era && known & KNOWS_EARLIER_ERA_BIT != 0
}

/// Whether a list of version `known` has entries that its reader only expects to return.
pub(crate) fn awaits_entries(known: u64) -> bool {
    known & COMPLETE_BIT == 0
}

/// Whether a list of version `theirs` is to replace one of version `known`.
///
/// A list of a later era is not accepted if its reader does not know the earlier entries, because it may lack
/// entries that are still valid.
pub(crate) fn supersedes(theirs: u64, known: u64) -> bool {
    let is_later_era = era_of(theirs) > era_of(known);
    theirs > known && (known == 0 || !is_later_era || theirs & KNOWS_EARLIER_ERA_BIT != 0)
}
