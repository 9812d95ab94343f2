import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { Revision } from "../core/id.ts";
import {
  type AdminDrain,
  type AdminStatus,
  AdminStatusSchema,
} from "../wire/admin.ts";
import { AdminClient, type AdminError } from "./admin_client.ts";

/** Fake admin client with daemons by address; other addresses are unreachable. */
export class FakeAdminClient extends AdminClient {
  readonly daemons = new Map<string, AdminStatus>();
  readonly drained: string[] = [];
  /** Runs before each status is returned. */
  onStatus: () => void = () => {};

  override status(address: string): ResultAsync<AdminStatus, AdminError> {
    this.onStatus();
    const status = this.daemons.get(address);
    if (status !== undefined) return okAsync(status);
    return errAsync({ code: "unreachable", detail: `no ${address}` });
  }

  override drain(address: string): ResultAsync<AdminDrain, AdminError> {
    const status = this.daemons.get(address);
    if (status === undefined) {
      return errAsync({ code: "unreachable", detail: `no ${address}` });
    }
    this.drained.push(address);
    const { id, vm } = status;
    return okAsync({ id, vm, state: "leaving" });
  }

  /** Adds daemons that all report each other as peers; revisions by VM name. */
  add(revisions: Readonly<Record<string, number>>): void {
    const names = Object.keys(revisions);
    for (const name of names) {
      const peers = names.filter((peer) => peer !== name).map((peer) => ({
        ...daemonFields(peer, revisions[peer] ?? -1),
        heard_at: 1_000,
      }));
      this.daemons.set(`${name}:1`, fakeStatus(name, { revisions, peers }));
    }
  }

  /** Changes the revision in a daemon's own status. */
  setRevision(name: string, revision: number): void {
    const status = this.daemons.get(`${name}:1`);
    if (status === undefined) return;
    this.daemons.set(`${name}:1`, {
      ...status,
      revision: revision as Revision,
    });
  }
}

function fakeStatus(
  name: string,
  options: {
    revisions: Readonly<Record<string, number>>;
    peers: { peer_address: string }[];
  },
): AdminStatus {
  return AdminStatusSchema.parse({
    ...daemonFields(name, options.revisions[name] ?? -1),
    at: 5_000,
    started_at: 0,
    config_stale: false,
    suspects: 0,
    listed: options.peers.map(({ peer_address }) => peer_address),
    peers: options.peers,
    upstreams: [{
      id: "engine-1",
      kind: "engine",
      domain: "a",
      address: "engine-1:1",
      incarnation: "i",
      state: "live",
      group: "g",
      loaded: [{ model: "m", version: "1", adapters: [] }],
      running: 2,
      waiting: 0,
    }],
    quarantine: [{ digest: "abc", since: 0 }],
    leases: [{ group: "g", holder: "id-a", fencing: 7 }],
    counters: { refused: {}, retried: {}, counted: {} },
  });
}

function daemonFields(name: string, revision: number) {
  return {
    id: `id-${name}`,
    vm: name,
    domain: "d",
    client_address: `${name}:1`,
    peer_address: `${name}:2`,
    state: "serving",
    revision,
    running: 1,
    queued: 0,
  };
}
