import { err, ok, type Result } from "neverthrow";
import type { DaemonId, DomainId, Revision, VmId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { AdminPeer, AdminStatus } from "../wire/admin.ts";
import type { AdminClient, AdminError } from "./admin_client.ts";

const MAX_DAEMONS = 1_024;
const MAX_CONCURRENT_CALLS = 16;

/** One daemon: its own status or, where it can't be reached, what its peers report. */
export type DaemonView = Readonly<{
  id: DaemonId;
  vm: VmId;
  domain: DomainId;
  address: string;
  peerAddress: string;
  state: AdminPeer["state"];
  revision: Revision;
  running: number;
  queued: number;
  /** Present if the daemon itself responded. */
  status?: AdminStatus;
  /** Why it did not respond, and the time since a peer last received a message from it. */
  unreachable?: Readonly<{ detail: string; silentMs: Millis }>;
}>;

/** All daemons that at least one reachable daemon reports. */
export type Fleet = Readonly<{
  daemons: readonly DaemonView[];
  /** Peer addresses on the platform's list from which no daemon has received a message. */
  unseenAddresses: readonly string[];
}>;

type ReportedPeer = Readonly<{ peer: AdminPeer; reportedAt: Timestamp }>;

/** Reads the status of one daemon, then of every peer that it or another daemon reports. */
export async function surveyFleet(
  admin: AdminClient,
  entry: string,
): Promise<Result<Fleet, AdminError>> {
  const first = await admin.status(entry);
  if (first.isErr()) return err(first.error);
  const views = new Map<DaemonId, DaemonView>();
  let pending = addView(views, first.value, entry);
  while (pending.length > 0 && views.size < MAX_DAEMONS) {
    const batch = pending.slice(0, MAX_CONCURRENT_CALLS);
    pending = pending.slice(MAX_CONCURRENT_CALLS);
    const answers = await Promise.all(
      batch.map(({ peer }) => admin.status(peer.client_address)),
    );
    for (const [index, answer] of answers.entries()) {
      const reported = batch[index];
      if (reported === undefined || views.has(reported.peer.id)) continue;
      if (answer.isOk() && answer.value.id === reported.peer.id) {
        pending.push(
          ...addView(views, answer.value, reported.peer.client_address),
        );
      } else {
        const detail = answer.isErr()
          ? answer.error.detail
          : "another daemon answers at its address";
        views.set(reported.peer.id, unreachableView(reported, detail));
      }
    }
    pending = pending.filter(({ peer }) => !views.has(peer.id));
  }
  const daemons = [...views.values()].sort((a, b) => a.vm < b.vm ? -1 : 1);
  return ok({ daemons, unseenAddresses: findUnseenAddresses(daemons) });
}

function findUnseenAddresses(
  daemons: readonly DaemonView[],
): readonly string[] {
  const seen = new Set(daemons.map(({ peerAddress }) => peerAddress));
  const listed = daemons.flatMap(({ status }) => status?.listed ?? []);
  return [...new Set(listed)].filter((address) => !seen.has(address)).sort();
}

function addView(
  views: Map<DaemonId, DaemonView>,
  status: AdminStatus,
  address: string,
): ReportedPeer[] {
  const { id, vm, domain, state, revision, running, queued } = status;
  const summary = { id, vm, domain, state, revision, running, queued };
  const peerAddress = status.peer_address;
  views.set(id, { ...summary, address, peerAddress, status });
  return status.peers.filter((peer) => peer.state !== "finished")
    .map((peer) => ({ peer, reportedAt: status.at }));
}

function unreachableView(
  { peer, reportedAt: at }: ReportedPeer,
  detail: string,
): DaemonView {
  const { id, vm, domain, state, revision, running, queued } = peer;
  return {
    id,
    vm,
    domain,
    address: peer.client_address,
    peerAddress: peer.peer_address,
    state,
    revision,
    running,
    queued,
    unreachable: { detail, silentMs: Math.max(0, at - peer.heard_at) },
  };
}
