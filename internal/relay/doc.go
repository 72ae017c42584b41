// Package relay lets one gate of each failure domain follow the metadata store and
// pass changes on to the other gates of the domain, the members. The calls to the
// store and its traffic then don't grow with the number of gates.
//
// Problem: targets write their reports into the rows that gates follow, so every
// gate that follows the store reads what every target writes. Any gate may be killed,
// frozen, partitioned or refused by the store at any time. Members must then be no
// worse off than if they followed the store themselves: configuration changes must
// apply, and revoked keys stop working, within the same time limits.
//
// Invariants:
//   - A gate follows the store itself unless a peer that follows the store serves it.
//   - What a relay passes on carries its age at the relay. The member counts the age
//     from a time before it sent the poll request, on a clock that includes suspended
//     time.
//   - A target list never replaces a newer one.
//   - What a member must order against its own past, such as the time of an outage, is stated as
//     a position in the store. Polls may wait, so a time since then would be dated too late.
//   - A relay whose cached state is too old refuses to serve. If it is recent but did not
//     change during a long poll, the response is "no change" with the age of the table.
//
// There is no leader election: every gate ranks the alive gates of its domain by a hash
// of their node names (rendezvous hashing) and polls those that rank above it, highest
// first. Gates that disagree for a while cause more calls but no wrong results.
//
// A gate that starts while the store is unreachable fetches the cached state of a peer
// once, with its age (bootstrap). It then serves the requests for which a table of that
// age is good enough, and refuses those that need a newer one.
//
// Rejected: relays for a region, since traffic between failure domains is billed; a
// leader lease in the store, which must be renewed there and leaves a gap after a
// crash; pushes from relays to members, because a relay would have to know its members
// and a member could not distinguish an unresponsive relay from an unchanged store.
package relay
