import * as grpc from "@grpc/grpc-js";
import { type Millis, MINUTE_MS } from "../core/time.ts";

/** Certificate files, PEM; read again while the daemon runs, so that a renewed one needs no restart. */
export type CertificateFiles = Readonly<{
  certPath: string;
  keyPath: string;
  /** Certificates that sign the daemons' own. */
  caPath: string;
}>;

/** How daemons prove themselves to each other. */
export type PeerCredentials = Readonly<{
  server: grpc.ServerCredentials;
  channel: grpc.ChannelCredentials;
}>;

const REFRESH_MS: Millis = MINUTE_MS;

/** Without TLS: whoever reaches the peer address is believed. */
export function insecureCredentials(): PeerCredentials {
  return {
    server: grpc.ServerCredentials.createInsecure(),
    channel: grpc.credentials.createInsecure(),
  };
}

/** Both ends show a certificate that the CA has signed. */
export function mutualTlsCredentials(
  files: CertificateFiles,
  options: { refreshMs?: Millis } = {},
): PeerCredentials {
  const { experimental } = grpc;
  const provider = new experimental.FileWatcherCertificateProvider({
    certificateFile: files.certPath,
    privateKeyFile: files.keyPath,
    caCertificateFile: files.caPath,
    refreshIntervalMs: options.refreshMs ?? REFRESH_MS,
  });
  return {
    server: experimental.createCertificateProviderServerCredentials(
      provider,
      provider,
      true,
    ),
    // VMs come and go with their addresses: the CA's signature counts, not the name.
    channel: experimental.createCertificateProviderChannelCredentials(
      provider,
      provider,
      { checkServerIdentity: () => undefined },
    ),
  };
}
