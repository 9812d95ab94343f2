import * as grpc from "@grpc/grpc-js";
import { type Millis, MINUTE_MS } from "../core/time.ts";

/** Paths of PEM files; they are reread while the daemon runs, so a renewed certificate needs no restart. */
export type CertificateFiles = Readonly<{
  certPath: string;
  keyPath: string;
  /** CA certificates that signed those of the daemons. */
  caPath: string;
}>;

/** gRPC credentials that daemons use to authenticate each other. */
export type PeerCredentials = Readonly<{
  server: grpc.ServerCredentials;
  channel: grpc.ChannelCredentials;
}>;

const REFRESH_MS: Millis = MINUTE_MS;

/** No TLS: every caller that reaches the peer address is trusted. */
export function insecureCredentials(): PeerCredentials {
  return {
    server: grpc.ServerCredentials.createInsecure(),
    channel: grpc.credentials.createInsecure(),
  };
}

/** Mutual TLS: both ends present a certificate signed by the CA; files are reread every `refreshMs` (1 min). */
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
    // VM addresses change, so the host name is not checked, only the CA's signature.
    channel: experimental.createCertificateProviderChannelCredentials(
      provider,
      provider,
      { checkServerIdentity: () => undefined },
    ),
  };
}
