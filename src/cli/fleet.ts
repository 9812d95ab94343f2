import { err, ok, type Result } from "neverthrow";
import type { DaemonId, DomainId, Revision, VmId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { AdminPeer, AdminStatus } from "../wire/admin.ts";
import type { AdminClient, AdminError } from "./admin_client.ts";

const MAX_DAEMONS = 1_024;
const ASKED_AT_ONCE = 16;

/** One daemon, from its own answer or else as others have heard of it. */
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
  /** Present where the daemon itself answered. */
  status?: AdminStatus;
  /** Why it did not answer, and how long ago another daemon last heard from it. */
  unreachable?: Readonly<{ detail: string; silentMs: Millis }>;
}>;

/** All daemons that any daemon knows of. */
export type Fleet = Readonly<{
  daemons: readonly DaemonView[];
  /** Peer addresses on the platform's list that nobody has heard from. */
  unheard: readonly string[];
}>;

type Heard = Readonly<{ peer: AdminPeer; at: Timestamp }>;

/** Asks one daemon, then all that it and the others know, for their own view. */
export async function surveyFleet(
  admin: AdminClient,
  entry: string,
): Promise<Result<Fleet, AdminError>> {
  const first = await admin.status(entry);
  if (first.isErr()) return err(first.error);
  const views = new Map<DaemonId, DaemonView>();
  let heard = take(views, first.value, entry);
  while (heard.length > 0 && views.size < MAX_DAEMONS) {
    const asked = heard.slice(0, ASKED_AT_ONCE);
    heard = heard.slice(ASKED_AT_ONCE);
    const answers = await Promise.all(
      asked.map(({ peer }) => admin.status(peer.client_address)),
    );
    for (const [index, answer] of answers.entries()) {
      const one = asked[index];
      if (one === undefined || views.has(one.peer.id)) continue;
      if (answer.isOk() && answer.value.id === one.peer.id) {
        heard.push(...take(views, answer.value, one.peer.client_address));
      } else {
        const detail = answer.isErr()
          ? answer.error.detail
          : "another daemon answers at its address";
        views.set(one.peer.id, unreachableView(one, detail));
      }
    }
    heard = heard.filter(({ peer }) => !views.has(peer.id));
  }
  const daemons = [...views.values()].sort((a, b) => a.vm < b.vm ? -1 : 1);
  return ok({ daemons, unheard: findUnheard(daemons) });
}

function findUnheard(daemons: readonly DaemonView[]): readonly string[] {
  const heard = new Set(daemons.map(({ peerAddress }) => peerAddress));
  const listed = daemons.flatMap(({ status }) => status?.listed ?? []);
  return [...new Set(listed)].filter((address) => !heard.has(address)).sort();
}

function take(
  views: Map<DaemonId, DaemonView>,
  status: AdminStatus,
  address: string,
): Heard[] {
  const { id, vm, domain, state, revision, running, queued } = status;
  const facts = { id, vm, domain, state, revision, running, queued };
  const peerAddress = status.peer_address;
  views.set(id, { ...facts, address, peerAddress, status });
  return status.peers.filter((peer) => peer.state !== "finished")
    .map((peer) => ({ peer, at: status.at }));
}

function unreachableView({ peer, at }: Heard, detail: string): DaemonView {
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
