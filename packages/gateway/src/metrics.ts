export { createGatewayMetrics, type GatewayMetrics } from './lib/metrics/gatewayMetrics';
